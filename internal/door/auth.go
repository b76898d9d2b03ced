package door

import (
	"net/http"
	"strings"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/rpc"
)

// caller is who a request is done for.
type caller struct {
	team       string
	credential *rpc.Credential
}

// bearer returns the key that the request presents, or "".
func bearer(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// authenticate returns the caller by its key. A wrong key costs the same as a
// right one.
func (d *Door) authenticate(r *http.Request, c *config.Config) (caller, *Error) {
	hash := config.HashKey(bearer(r))
	team, ok := c.KeyTeam(hash)
	if !ok {
		return caller{}, unauthorized()
	}
	return caller{team: team.Name, credential: &rpc.Credential{KeySha256: hash}}, nil
}

// authorize returns the caller of a request to a queue, and the queue. An open
// queue needs no key and works for its own team.
func (d *Door) authorize(r *http.Request, c *config.Config, name string) (caller, *config.Queue, *Error) {
	queue, known := c.Queue(name)
	if known && queue.Open && r.Header.Get("Authorization") == "" {
		return caller{team: queue.OpenTeam, credential: &rpc.Credential{}}, queue, nil
	}
	who, refusal := d.authenticate(r, c)
	if refusal != nil {
		return caller{}, nil, refusal
	}
	if !known {
		return caller{}, nil, neverSent(http.StatusNotFound, api.CodeNoSuchQueue, "no queue named "+name).field("queue")
	}
	if !queue.Allows(who.team) {
		return caller{}, nil, neverSent(http.StatusForbidden, api.CodeForbidden,
			"team "+who.team+" may not use queue "+name).field("queue")
	}
	return who, queue, nil
}

func unauthorized() *Error {
	return neverSent(http.StatusUnauthorized, api.CodeUnauthorized, "key missing, wrong or withdrawn").
		field("Authorization").
		remedy("send Authorization: Bearer KEY with a key that an operator has granted")
}
