package standin

import (
	"bytes"
	"encoding/json"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// Work is what an admitted attempt really does, whatever was declared.
type Work struct {
	RunTime time.Duration
	Fail    bool
	Answer  []byte
	Usage   model.Resources // zero: as admitted
	Tag     string          // copied to the record, for checkers
}

// Handler decides what an attempt does from its command and its body. Jobs'
// tasks have their payload as body.
type Handler func(s worker.Start, body []byte) Work

// Orders is the JSON that DefaultHandler understands as payload or body.
type Orders struct {
	RunMillis   int64  `json:"run_ms"`
	Fail        bool   `json:"fail"`
	AnswerBytes int    `json:"answer_bytes"`
	UsageMB     int64  `json:"usage_mb"`
	UsageMCores int64  `json:"usage_mcores"`
	Tag         string `json:"tag"`
}

// DefaultHandler obeys Orders and answers with AnswerBytes bytes, else with the
// body itself. A body that is not Orders is echoed at once.
func DefaultHandler(s worker.Start, body []byte) Work {
	var o Orders
	if err := json.Unmarshal(body, &o); err != nil {
		return Work{Answer: bytes.Clone(body)}
	}
	w := Work{
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
