package door

import (
	"errors"

	"cuminloft/internal/worker"
)

// Proof is the reason why a request is known not to have run. The empty Proof means that
// there is no such proof.
type Proof string

// The proofs.
const (
	// ProofNeverSent: no attempt was sent to a worker.
	ProofNeverSent Proof = "never_sent"
	// ProofRefused: the worker refused each attempt that was sent.
	ProofRefused Proof = "refused_by_worker"
	// ProofSettled: the worker had never seen the attempt and has voided it, so that the
	// attempt cannot start later.
	ProofSettled Proof = "settled_never_seen"
)

// startRefusals are the worker errors that prove that a start had no effect. Other errors
// prove nothing; for example, ErrDuplicate means that the same attempt arrived before.
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

// proofOf returns the proof, given by a worker's error, that the start had no effect, and
// whether the worker is the cause. The Proof is empty if the error proves nothing.
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

// weaker returns the weaker of two proofs, which holds for both attempts together.
func (p Proof) weaker(o Proof) Proof {
	rank := map[Proof]int{ProofNeverSent: 0, ProofRefused: 1, ProofSettled: 2}
	if rank[o] > rank[p] {
		return o
	}
	return p
}
