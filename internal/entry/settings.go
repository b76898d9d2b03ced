// Package entry is the process of an entry host on the platform: it connects the
// callers' server, the coordinator and the other entry hosts.
package entry

import (
	"fmt"
	"net"
	"os"
	"time"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/strictjson"
)

// Settings are the process settings of an entry host on the platform.
type Settings struct {
	Host string `json:"host"` // unique name of this entry host
	AZ   string `json:"az"`
	// CallersListen, ReadinessListen, RPCListen and MetricsListen are host:port.
	// RPCListen serves the other entry hosts, which dial the address as given here.
	CallersListen   string `json:"callers_listen"`
	ReadinessListen string `json:"readiness_listen"`
	RPCListen       string `json:"rpc_listen"`
	MetricsListen   string `json:"metrics_listen,omitempty"`
	// Store and Advice are the host:port of the platform's services; without
	// Advice every worker is eligible.
	Store  string `json:"store"`
	Advice string `json:"advice,omitempty"`
	// HostAPI is the host:port of the API that operates the workers' hosts; without
	// it maintenance campaigns are ignored.
	HostAPI string `json:"host_api,omitempty"`
	// OrderLeaseMS is the minimum time between the last maintenance order of one
	// coordinator and the first order of the next, in milliseconds; default 3000.
	OrderLeaseMS float64 `json:"order_lease_ms,omitempty"`
	// GraceS is the time between SIGTERM and SIGKILL, in seconds.
	GraceS float64 `json:"grace_s"`
	// ShowEndedS is the time for which callers can query an ended job, in seconds.
	ShowEndedS float64 `json:"show_ended_s,omitempty"`
	// CoreShare is the share of a core that the process may use; hosts with a larger
	// share are preferred as the coordinator.
	CoreShare float64 `json:"core_share,omitempty"`
	// MemoryMB and Cores limit the process.
	MemoryMB float64 `json:"memory_mb,omitempty"`
	Cores    float64 `json:"cores,omitempty"`
	// MaxDescriptors limits the open file descriptors of the process; 0: unknown.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
	// LinkMbps is the capacity of the host's network link, in Mbit/s; 0: unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	LogLevel string  `json:"log_level,omitempty"` // debug, info or error; default info
	// DirectStartsPerS is the number of start orders per second that the coordinator sends to
	// workers itself; it relays further ones through other hosts. 0: no limit.
	DirectStartsPerS float64 `json:"direct_starts_per_s,omitempty"`
	// Scheduling switches parts of scheduling; each is off by default.
	Scheduling Scheduling `json:"scheduling,omitempty"`
}

// Scheduling are the settings of dispatch.Policy.
type Scheduling struct {
	// LearnSpeeds learns how fast workers are beside each other. On a slow worker tasks take
	// SlowFactor times as long as on the fast ones of its pool; default 1.4.
	LearnSpeeds bool    `json:"learn_speeds,omitempty"`
	SlowFactor  float64 `json:"slow_factor,omitempty"`
	// ReserveAmounts reserves capacity for gangs by amount instead of by whole workers.
	ReserveAmounts bool `json:"reserve_amounts,omitempty"`
	// StartMargins ranks jobs that can hardly be on time any more behind those that can.
	StartMargins bool `json:"start_margins,omitempty"`
	// RenewFirst spends calls for advice on gangs that have capacity first.
	RenewFirst bool `json:"renew_first,omitempty"`
	// SeparateImages keeps images apart that slow each other down on one worker.
	SeparateImages bool `json:"separate_images,omitempty"`
	// IgnoredImagePairs are pairs of image names that are never kept apart. What was learned
	// of them is dropped.
	IgnoredImagePairs [][]string `json:"ignored_image_pairs,omitempty"`
}

// policy returns the policy of these settings.
func (s Scheduling) policy() dispatch.Policy {
	return dispatch.Policy{LearnSpeeds: s.LearnSpeeds, SlowFactor: s.SlowFactor, ReserveAmounts: s.ReserveAmounts,
		StartMargins: s.StartMargins, RenewFirst: s.RenewFirst, SeparateImages: s.SeparateImages}
}

// ignoredImagePairs returns the ignored pairs of images, or an error that names the first entry
// that is no pair.
func (s Scheduling) ignoredImagePairs() ([][2]string, error) {
	pairs := make([][2]string, 0, len(s.IgnoredImagePairs))
	for i, p := range s.IgnoredImagePairs {
		if len(p) != 2 {
			return nil, fmt.Errorf("ignored pair of images %d has %d names, not 2", i+1, len(p))
		}
		pairs = append(pairs, [2]string{p[0], p[1]})
	}
	return pairs, dispatch.CheckIgnoredImagePairs(pairs)
}

// defaultShowEndedS is the time promised to callers, with a margin.
const defaultShowEndedS = 300

// defaultOrderLeaseMS is the platform's usual order lease.
const defaultOrderLeaseMS = 3000

// maxDirectStartsPerS bounds the setting direct_starts_per_s: no processor sends that many.
const maxDirectStartsPerS = 1_000_000

// Codes of problems in settings.
const (
	codeMissing strictjson.Code = "missing"
	codeInvalid strictjson.Code = "invalid"
)

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseSettings(path, data)
}

// ParseSettings decodes and checks settings. The error is a *strictjson.Error with
// all problems found.
func ParseSettings(name string, data []byte) (*Settings, error) {
	s := new(Settings)
	doc, err := strictjson.Decode(name, data, s)
	if err != nil {
		return nil, err
	}
	var problems []strictjson.Problem
	require := func(path, value string) {
		if value == "" {
			problems = append(problems, doc.Problem(path, codeMissing, path+" is missing", ""))
		}
	}
	address := func(path, value string) {
		if _, _, err := net.SplitHostPort(value); value != "" && err != nil {
			problems = append(problems, doc.Problem(path, codeInvalid, fmt.Sprintf("%q is not host:port", value), ""))
		}
	}
	require("host", s.Host)
	require("az", s.AZ)
	for path, value := range map[string]string{
		"callers_listen": s.CallersListen, "readiness_listen": s.ReadinessListen,
		"rpc_listen": s.RPCListen, "store": s.Store,
	} {
		require(path, value)
		address(path, value)
	}
	address("metrics_listen", s.MetricsListen)
	address("advice", s.Advice)
	address("host_api", s.HostAPI)
	if s.GraceS < 0 || s.ShowEndedS < 0 || s.MemoryMB < 0 || s.Cores < 0 || s.OrderLeaseMS < 0 || s.MaxDescriptors < 0 || s.LinkMbps < 0 {
		problems = append(problems, doc.Problem("", codeInvalid, "grace_s, show_ended_s, memory_mb, cores, order_lease_ms, max_descriptors and link_mbps must not be negative", ""))
	}
	if s.DirectStartsPerS < 0 || s.DirectStartsPerS > maxDirectStartsPerS {
		problems = append(problems, doc.Problem("direct_starts_per_s", codeInvalid, fmt.Sprintf("direct_starts_per_s must be from 0 (no limit) to %d", maxDirectStartsPerS), ""))
	}
	if err := s.Scheduling.policy().Check(); err != nil {
		problems = append(problems, doc.Problem("scheduling", codeInvalid, err.Error(), ""))
	}
	if _, err := s.Scheduling.ignoredImagePairs(); err != nil {
		problems = append(problems, doc.Problem("scheduling.ignored_image_pairs", codeInvalid, err.Error(), ""))
	}
	if s.OrderLeaseMS == 0 {
		s.OrderLeaseMS = defaultOrderLeaseMS
	}
	if s.ShowEndedS == 0 {
		s.ShowEndedS = defaultShowEndedS
	}
	if len(problems) > 0 {
		return nil, &strictjson.Error{Problems: problems}
	}
	return s, nil
}

// Retention returns the time for which callers can query an ended job.
func (s *Settings) Retention() time.Duration {
	return time.Duration(s.ShowEndedS * float64(time.Second))
}

// OrderLease returns the minimum time between the last maintenance order of one
// coordinator and the first order of the next.
func (s *Settings) OrderLease() time.Duration {
	return time.Duration(s.OrderLeaseMS * float64(time.Millisecond))
}

// Grace returns the time between SIGTERM and SIGKILL.
func (s *Settings) Grace() time.Duration { return time.Duration(s.GraceS * float64(time.Second)) }

// LinkBytesPerSecond returns the capacity of the host's network link; 0 if it is unknown.
func (s *Settings) LinkBytesPerSecond() float64 { return s.LinkMbps * 1e6 / 8 }

// thinLinkMbps is the capacity of a link, in Mbit/s, below which each job is to cross it
// only once.
const thinLinkMbps = 5

// thinLink reports whether the host's link is known to be thin.
func (s *Settings) thinLink() bool { return s.LinkMbps > 0 && s.LinkMbps < thinLinkMbps }
