package standin

import (
	"bytes"
	"encoding/json"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// Behaviour is what an admitted attempt really does, which may differ from what its job
// declared.
type Behaviour struct {
	RunTime time.Duration
	Fail    bool
	Answer  []byte
	Usage   model.Resources // zero: the declared resources
	Tag     string          // copied to the attempt record, for checkers
}

// Handler returns the behaviour of an attempt from its start command and its body. The
// body of a job's task is its payload.
type Handler func(s worker.Start, body []byte) Behaviour

// TaskScript is the JSON payload or body by which tests control an attempt under
// DefaultHandler.
type TaskScript struct {
	RunMillis   int64  `json:"run_ms"`
	Fail        bool   `json:"fail"`
	AnswerBytes int    `json:"answer_bytes"`
	UsageMB     int64  `json:"usage_mb"`
	UsageMCores int64  `json:"usage_mcores"`
	Tag         string `json:"tag"`
}

// DefaultHandler runs an attempt as its TaskScript says. It answers with AnswerBytes
// bytes, or with the body itself if AnswerBytes is 0. A body that is no TaskScript is
// echoed at once.
func DefaultHandler(s worker.Start, body []byte) Behaviour {
	var o TaskScript
	if err := json.Unmarshal(body, &o); err != nil {
		return Behaviour{Answer: bytes.Clone(body)}
	}
	w := Behaviour{
		RunTime: time.Duration(o.RunMillis) * time.Millisecond,
		Fail:    o.Fail,
		Answer:  bytes.Clone(body),
		Tag:     o.Tag,
	}
	if o.AnswerBytes > 0 {
		w.Answer = bytes.Repeat([]byte("x"), o.AnswerBytes)
	}
	if o.UsageMB > 0 || o.UsageMCores > 0 {
		w.Usage = s.Resources
		w.Usage.MemoryMB = max(o.UsageMB, 1)
		w.Usage.MilliCores = max(o.UsageMCores, 1)
	}
	return w
}
