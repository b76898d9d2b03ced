package standin

import (
	"bytes"
	"encoding/json"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// Behaviour is what an admitted attempt really does, whatever was declared.
type Behaviour struct {
	RunTime time.Duration
	Fail    bool
	Answer  []byte
	Usage   model.Resources // zero: as admitted
	Tag     string          // copied to the record, for checkers
}

// Handler decides what an attempt does from its command and its body. Jobs'
// tasks have their payload as body.
type Handler func(s worker.Start, body []byte) Behaviour

// TaskScript is the JSON that DefaultHandler understands as payload or body.
type TaskScript struct {
	RunMillis   int64  `json:"run_ms"`
	Fail        bool   `json:"fail"`
	AnswerBytes int    `json:"answer_bytes"`
	UsageMB     int64  `json:"usage_mb"`
	UsageMCores int64  `json:"usage_mcores"`
	Tag         string `json:"tag"`
}

// DefaultHandler obeys Orders and answers with AnswerBytes bytes, else with the
// body itself. A body that is not Orders is echoed at once.
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
