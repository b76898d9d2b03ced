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
	var script TaskScript
	if err := json.Unmarshal(body, &script); err != nil {
		return Behaviour{Answer: bytes.Clone(body)}
	}
	b := Behaviour{
		RunTime: time.Duration(script.RunMillis) * time.Millisecond,
		Fail:    script.Fail,
		Answer:  bytes.Clone(body),
		Tag:     script.Tag,
	}
	if script.AnswerBytes > 0 {
		b.Answer = bytes.Repeat([]byte("x"), script.AnswerBytes)
	}
	if script.UsageMB > 0 || script.UsageMCores > 0 {
		b.Usage = s.Resources
		b.Usage.MemoryMB = max(script.UsageMB, 1)
		b.Usage.MilliCores = max(script.UsageMCores, 1)
	}
	return b
}
