package door

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
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

// hashKey returns the hexadecimal SHA-256 of a key.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// teamOf returns the team that a key's hash belongs to. It compares against
// every key, so that a wrong key costs the same as a right one.
func teamOf(c *config.Config, hash string) (string, bool) {
	team, found := "", 0
	for i := range c.Organisations {
		for j := range c.Organisations[i].Teams {
			t := &c.Organisations[i].Teams[j]
			for k := range t.Keys {
				if subtle.ConstantTimeCompare([]byte(hash), []byte(t.Keys[k].SHA256)) == 1 {
					team, found = t.Name, 1
				}
			}
		}
	}
	return team, found == 1
}

// authenticate returns the caller of a request without a queue.
func (d *Door) authenticate(r *http.Request, c *config.Config) (caller, *Error) {
	hash := hashKey(bearer(r))
	team, ok := teamOf(c, hash)
	if !ok {
		return caller{}, unauthorized()
	}
	return caller{team: team, credential: &rpc.Credential{KeySha256: hash}}, nil
}

// authorize returns the caller of a request to a queue, and the queue. An open
// queue needs no key and works for its own team.
func (d *Door) authorize(r *http.Request, c *config.Config, queue string) (caller, *config.Queue, *Error) {
	i := slices.IndexFunc(c.Queues, func(q config.Queue) bool { return q.Name == queue })
	if i >= 0 && c.Queues[i].Open {
		return caller{team: c.Queues[i].OpenTeam, credential: &rpc.Credential{}}, &c.Queues[i], nil
	}
	who, refusal := d.authenticate(r, c)
	if refusal != nil {
		return caller{}, nil, refusal
	}
	if i < 0 {
		return caller{}, nil, neverSent(http.StatusNotFound, api.CodeNoSuchQueue, "no queue named "+queue).field("queue")
	}
	q := &c.Queues[i]
	if len(q.Teams) > 0 && !slices.Contains(q.Teams, who.team) {
		return caller{}, nil, neverSent(http.StatusForbidden, api.CodeForbidden,
			"team "+who.team+" may not use queue "+queue).field("queue")
	}
	return who, q, nil
}

func unauthorized() *Error {
	return neverSent(http.StatusUnauthorized, api.CodeUnauthorized, "key missing, wrong or withdrawn").
		field("Authorization").
		remedy("send Authorization: Bearer KEY with a key that an operator has granted")
}
