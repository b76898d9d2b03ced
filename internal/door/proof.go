package door

import (
	"errors"

	"cuminloft/internal/worker"
)

// Proof is why a request provably did not run. The empty Proof proves nothing.
type Proof string

// The proofs.
const (
	// ProofNeverSent: no attempt was sent to a worker.
	ProofNeverSent Proof = "never_sent"
	// ProofRefused: the worker refused each attempt that was sent.
	ProofRefused Proof = "refused_by_worker"
	// ProofSettled: the worker has never seen the attempt and has voided it, so
	// that it cannot start later.
	ProofSettled Proof = "settled_never_seen"
)

// startRefusals are the worker's errors that prove that a start had no effect.
// Errors that are not listed prove nothing: ErrDuplicate, for one, means that
// the same attempt arrived before.
var startRefusals = []struct {
	err         error
	proof       Proof
	workerFault bool
}{
	{worker.ErrUnreachable, ProofNeverSent, true},
	{worker.ErrFenced, ProofRefused, false},
	{worker.ErrWindowPassed, ProofRefused, false},
	{worker.ErrInsufficientCapacity, ProofRefused, true},
	{worker.ErrVoided, ProofRefused, false},
	{worker.ErrLeaving, ProofRefused, true},
}

// proofOf returns the proof in a worker's error that the start had no effect,
// and whether the worker is to blame. The Proof is empty if there is none.
func proofOf(err error) (Proof, bool) {
	if errors.Is(err, worker.ErrAmbiguous) {
		return "", false
	}
	for _, r := range startRefusals {
		if errors.Is(err, r.err) {
			return r.proof, r.workerFault
		}
	}
	return "", false
}

// weaker returns the proof that holds for a request of several attempts.
func (p Proof) weaker(o Proof) Proof {
	rank := map[Proof]int{ProofNeverSent: 0, ProofRefused: 1, ProofSettled: 2}
	if rank[o] > rank[p] {
		return o
	}
	return p
}
