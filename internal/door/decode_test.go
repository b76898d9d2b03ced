package door

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/api"
	"cuminloft/internal/rpc"
)

func TestParseHeaders(t *testing.T) {
	for name, tt := range map[string]struct {
		header, value string
		want          headers
		field         string // of the refusal; empty: none
	}{
		"defaults":           {want: headers{timeout: DefaultTimeout}},
		"idempotent":         {header: api.HeaderIdempotent, value: "true", want: headers{timeout: DefaultTimeout, idempotent: true}},
		"timeout":            {header: api.HeaderTimeout, value: "1.5s", want: headers{timeout: 1500 * time.Millisecond}},
		"timeout not a time": {header: api.HeaderTimeout, value: "soon", field: api.HeaderTimeout},
		"timeout of zero":    {header: api.HeaderTimeout, value: "0s", field: api.HeaderTimeout},
		"timeout too long":   {header: api.HeaderTimeout, value: "2h", field: api.HeaderTimeout},
		"not a bool":         {header: api.HeaderIdempotent, value: "perhaps", field: api.HeaderIdempotent},
		"run time negative":  {header: api.HeaderRunTime, value: "-1s", field: api.HeaderRunTime},
		"resources": {header: api.HeaderResources, value: "milli_cores=500, slots=2",
			want: headers{timeout: DefaultTimeout, resources: api.Resources{MilliCores: 500, Slots: 2}}},
		"resource unknown":  {header: api.HeaderResources, value: "bananas=1", field: api.HeaderResources},
		"resource twice":    {header: api.HeaderResources, value: "slots=1,slots=1", field: api.HeaderResources},
		"resource negative": {header: api.HeaderResources, value: "slots=-1", field: api.HeaderResources},
		"key too long":      {header: api.HeaderIdempotencyKey, value: strings.Repeat("k", 257), field: api.HeaderIdempotencyKey},
		"kind too long":     {header: api.HeaderKind, value: strings.Repeat("k", 129), field: api.HeaderKind},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := http.Header{}
			if tt.header != "" {
				in.Set(tt.header, tt.value)
			}
			got, refusal := parseHeaders(in, Limits{}.withDefaults())
			if tt.field == "" {
				is.True(refusal == nil)
				is.Equal(got, tt.want)
				return
			}
			is.Equal(refusal.Field, tt.field)
			is.Equal(refusal.Code, api.CodeInvalid)
			is.Equal(refusal.Proof, ProofNeverSent)
		})
	}
}

// FuzzHeaders checks that no header causes a panic or the acceptance of a request that
// exceeds a limit, and that accepted resources are the same after formatting and parsing.
func FuzzHeaders(f *testing.F) {
	f.Add("true", "1s", "2s", "milli_cores=1,slots=2", "key")
	f.Add("", "", "", "", "")
	f.Add("x", "-1ns", "9e99h", "slots=99999999999999999999", "\x00")
	f.Fuzz(func(t *testing.T, idempotent, timeout, runTime, resources, key string) {
		in := http.Header{}
		in.Set(api.HeaderIdempotent, idempotent)
		in.Set(api.HeaderTimeout, timeout)
		in.Set(api.HeaderRunTime, runTime)
		in.Set(api.HeaderResources, resources)
		in.Set(api.HeaderIdempotencyKey, key)
		l := Limits{}.withDefaults()
		h, refusal := parseHeaders(in, l)
		if refusal != nil {
			if refusal.Outcome != api.OutcomeNotRun || refusal.Proof == "" || refusal.Field == "" {
				t.Fatalf("refusal without outcome, proof or field: %+v", refusal)
			}
			return
		}
		if h.timeout <= 0 || h.timeout > l.MaxTimeout || h.runTime < 0 || h.resources.IsNegative() || len(h.key) > l.MaxIdempotencyKeyBytes {
			t.Fatalf("accepted out of bounds: %+v", h)
		}
		again, err := api.ParseResources(api.FormatResources(h.resources))
		if err != nil || again != h.resources {
			t.Fatalf("resources %v came back as %v: %v", h.resources, again, err)
		}
	})
}

// FuzzSubmission checks that no body causes a panic or the acceptance of a job that exceeds
// a limit.
func FuzzSubmission(f *testing.F) {
	f.Add(`{"queue":"batch","tasks":3,"resources":{"slots":1},"run_time":"1m","payload":"aGk="}`)
	f.Add(`{"queue":"batch","tasks":-1}`)
	f.Add(`{"queue":"batch"} {}`)
	f.Add(`{"queue":"batch","resources":{"milli_cores":-5}}`)
	r := newRig(rigOptions{})
	f.Fuzz(func(t *testing.T, body string) {
		req := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+testKey)
		sub, refusal := r.frontends[0].readSubmission(httptest.NewRecorder(), req)
		if refusal != nil {
			if refusal.Outcome != api.OutcomeNotRun || refusal.Proof == "" {
				t.Fatalf("refusal without outcome or proof: %+v", refusal)
			}
			return
		}
		j := sub.job
		if j.Tasks < 1 || j.Tasks > maxTasks || j.Task.Resources.IsNegative() || j.Task.RunTime < 0 || j.MaxWait < 0 || j.Team != "press" {
			t.Fatalf("accepted out of bounds: %+v", j)
		}
	})
}

func TestErrorFromOwnerCoversEveryRefusal(t *testing.T) {
	for code := range refusalRules {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			e, _ := errorFromOwner((&rpc.Refusal{Code: code, Reason: "why", RetryAfter: 3 * time.Second}).ToTwirp())
			is.Equal(string(e.Code), string(code))
			is.Equal(e.Outcome, api.OutcomeNotRun)
			is.Equal(e.Proof, ProofNeverSent)
			is.True(e.Status >= 400)
			is.Equal(e.RetryAfter, 3*time.Second)
		})
	}
	is := is.New(t)
	e, next := errorFromOwner(errors.New("connection reset"))
	is.Equal(e.Code, api.CodeNoShard)
	is.Equal(next, reroute)
	is.True(e.RetryAfter > 0)
}
