package door

import (
	"net/http"
	"strings"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/rpc"
)

// identity is the team for which a request is made, with its credential.
type identity struct {
	team       string
	credential *rpc.Credential
}

// bearerKey returns the key in the Authorization header of the request, or "".
func bearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// authenticate returns the identity of a request by its key. A wrong key takes as long as a
// valid one.
func (f *Frontend) authenticate(r *http.Request, c *config.Config) (identity, *Error) {
	hash := config.HashKey(bearerKey(r))
	team, ok := c.KeyTeam(hash)
	if !ok {
		return identity{}, unauthorized()
	}
	return identity{team: team.Name, credential: &rpc.Credential{KeySha256: hash}}, nil
}

// authorize returns the identity of a request to a queue, and the queue. An open queue
// needs no key; its requests belong to the queue's open team.
func (f *Frontend) authorize(r *http.Request, c *config.Config, name string) (identity, *config.Queue, *Error) {
	queue, known := c.Queue(name)
	if known && queue.Open && r.Header.Get("Authorization") == "" {
		return identity{team: queue.OpenTeam, credential: &rpc.Credential{}}, queue, nil
	}
	caller, refusal := f.authenticate(r, c)
	if refusal != nil {
		return identity{}, nil, refusal
	}
	if !known {
		return identity{}, nil, neverSent(http.StatusNotFound, api.CodeNoSuchQueue, "no queue named "+name).field("queue")
	}
	if !queue.Allows(caller.team) {
		return identity{}, nil, neverSent(http.StatusForbidden, api.CodeForbidden,
			"team "+caller.team+" may not use queue "+name).field("queue")
	}
	return caller, queue, nil
}

func unauthorized() *Error {
	return neverSent(http.StatusUnauthorized, api.CodeUnauthorized, "key missing, wrong or withdrawn").
		field("Authorization").
		remedy("send Authorization: Bearer KEY with a key that an operator has granted")
}
