package decide

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip()
	}
	o := Options{Size: "today", User: "holunderhof", Load: 1.3, Duration: 20 * time.Minute, Seed: 1, Faults: true}
	if s := os.Getenv("SIZE"); s != "" {
		o.Size = s
	}
	if s := os.Getenv("USER_"); s != "" {
		o.User = s
	}
	fmt.Sscan(os.Getenv("LOAD"), &o.Load)
	if s := os.Getenv("DUR"); s != "" {
		o.Duration, _ = time.ParseDuration(s)
	}
	o.Cost = os.Getenv("COST") != ""
	o.Faults = os.Getenv("NOFAULTS") == ""
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	r.Text(os.Stdout)
}

func BenchmarkBatch(b *testing.B) {
	for b.Loop() {
		b.Log(costOf(930, 1, "batch"))
	}
}
