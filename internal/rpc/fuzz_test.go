package rpc

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzMessages checks that arbitrary bytes either fail to decode or give messages whose jobs
// do not change in a conversion to the model and back.
func FuzzMessages(f *testing.F) {
	job, err := proto.Marshal(&SubmitRequest{Job: &Job{Id: "a", Tasks: 2, Task: &TaskSpec{Resources: &Resources{Slots: 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(job)
	f.Add([]byte{0x0a, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []proto.Message{
			&SubmitRequest{}, &ReserveRequest{}, &PingRequest{}, &StageRequest{}, &Ticket{},
			&ReleaseRequest{}, &GiveBackRequest{}, &GetJobRequest{}, &JobStatus{}, &EventsReply{},
		} {
			if proto.Unmarshal(data, m) != nil {
				continue
			}
			if r, ok := m.(interface{ GetJob() *Job }); ok {
				checkJob(t, r.GetJob())
			}
		}
	})
}

func checkJob(t *testing.T, j *Job) {
	first := j.Model()
	again := FromJob(first).Model()
	if !first.Submitted.Equal(again.Submitted) {
		t.Fatalf("submitted %v, then %v", first.Submitted, again.Submitted)
	}
	again.Submitted = first.Submitted
	if len(first.Task.Payload)+len(again.Task.Payload) == 0 {
		again.Task.Payload = first.Task.Payload
	}
	if !reflect.DeepEqual(first, again) {
		t.Fatalf("%+v, then %+v", first, again)
	}
}
