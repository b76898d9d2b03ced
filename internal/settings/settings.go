// Package settings reads the process settings of an entry host: its name and AZ, its
// addresses, its keys for operators and its limits. The configuration of the cell is in
// package config.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"

	"cuminloft/internal/strictjson"
)

// Settings are the process settings of one entry host.
type Settings struct {
	Host string `json:"host"` // unique name of this entry host
	AZ   string `json:"az"`
	// Listen is the host:port for callers and operators.
	Listen string `json:"listen"`
	// RPCListen is the host:port for other entry hosts.
	RPCListen string `json:"rpc_listen"`
	// RPCAdvertise is the host:port that other entry hosts dial; default RPCListen.
	RPCAdvertise string `json:"rpc_advertise,omitempty"`
	// DialFrom is the local IP address of outgoing connections; default: the system's
	// choice.
	DialFrom string `json:"dial_from,omitempty"`
	// Platform is the base URL of the platform's table, object store and host list.
	Platform string `json:"platform"`
	// Peers are RPC addresses of other entry hosts. They are used until the hosts are known
	// from the table or from another member.
	Peers []string `json:"peers,omitempty"`
	// LeaveGraceMS is how long, in milliseconds, a host that shuts down keeps serving after
	// it has notified the load balancer and the other hosts. It should be longer than the
	// load balancer's health check interval.
	LeaveGraceMS int           `json:"leave_grace_ms,omitempty"`
	OperatorKeys []OperatorKey `json:"operator_keys"`
	Limits       Limits        `json:"limits"`
	Budget       Budget        `json:"budget"`
	Log          Log           `json:"log"`
}

// OperatorKey is a key for the operators' interface. Only the hash of its secret is stored.
type OperatorKey struct {
	ID     string `json:"id"`
	SHA256 string `json:"sha256"`
}

// Limits bounds the resources of this process that callers may use. Zero takes the default.
type Limits struct {
	MaxConnections     int   `json:"max_connections,omitempty"`
	MaxHeaderBytes     int   `json:"max_header_bytes,omitempty"`
	MaxBodyBytes       int64 `json:"max_body_bytes,omitempty"` // of a direct request
	MaxJobBytes        int64 `json:"max_job_bytes,omitempty"`  // of a submission
	HeaderTimeoutMS    int   `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS      int   `json:"idle_timeout_ms,omitempty"`
	MaxInFlightPerTeam int   `json:"max_in_flight_per_team,omitempty"`
}

// Budget bounds this process's calls to the platform. Zero takes the default.
type Budget struct {
	WritesPerSecond int `json:"writes_per_second,omitempty"`
	ReadsPerSecond  int `json:"reads_per_second,omitempty"`
}

// Log configures logging.
type Log struct {
	Level  string `json:"level,omitempty"`  // debug, info or error; default info
	Format string `json:"format,omitempty"` // json or text; default json
}

// Defaults of the limits and budgets.
const (
	DefaultMaxConnections     = 20_000
	DefaultMaxHeaderBytes     = 16 << 10
	DefaultMaxBodyBytes       = 4 << 30
	DefaultMaxJobBytes        = 1 << 20
	DefaultHeaderTimeoutMS    = 5_000
	DefaultIdleTimeoutMS      = 120_000
	DefaultMaxInFlightPerTeam = 2_000
	DefaultLeaveGraceMS       = 2_000
	DefaultWritesPerSecond    = 50
	DefaultReadsPerSecond     = 200
)

// Codes of the problems that this package reports.
const (
	codeMissing strictjson.Code = "missing"
	codeInvalid strictjson.Code = "invalid"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Load reads, decodes and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and checks settings and fills in the defaults. The error is a
// *strictjson.Error with every problem found.
func Parse(name string, data []byte) (*Settings, error) {
	s := new(Settings)
	d, err := strictjson.Decode(name, data, s)
	if err != nil {
		return nil, err
	}
	c := &checker{document: d}
	c.checkSettings(s)
	if len(c.problems) > 0 {
		return nil, &strictjson.Error{Problems: c.problems}
	}
	s.FillDefaults()
	return s, nil
}

// FillDefaults replaces zero values by their defaults.
func (s *Settings) FillDefaults() {
	if s.RPCAdvertise == "" {
		s.RPCAdvertise = s.RPCListen
	}
	l := &s.Limits
	setDefault(&l.MaxConnections, DefaultMaxConnections)
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxJobBytes, DefaultMaxJobBytes)
	setDefault(&l.HeaderTimeoutMS, DefaultHeaderTimeoutMS)
	setDefault(&l.IdleTimeoutMS, DefaultIdleTimeoutMS)
	setDefault(&l.MaxInFlightPerTeam, DefaultMaxInFlightPerTeam)
	setDefault(&s.LeaveGraceMS, DefaultLeaveGraceMS)
	setDefault(&s.Budget.WritesPerSecond, DefaultWritesPerSecond)
	setDefault(&s.Budget.ReadsPerSecond, DefaultReadsPerSecond)
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.Format, "json")
}

// setDefault sets *v to def if it is zero.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// checker collects the problems of one settings file.
type checker struct {
	document *strictjson.Document
	problems []strictjson.Problem
}

func (c *checker) checkSettings(s *Settings) {
	c.checkName("host", s.Host)
	c.checkName("az", s.AZ)
	c.checkAddress("listen", s.Listen, true)
	c.checkAddress("rpc_listen", s.RPCListen, true)
	c.checkAddress("rpc_advertise", s.RPCAdvertise, false)
	if s.DialFrom != "" && net.ParseIP(s.DialFrom) == nil {
		c.add("dial_from", codeInvalid, fmt.Sprintf("%q is not an IP address", s.DialFrom), "for example 127.0.0.1")
	}
	for i, addr := range s.Peers {
		c.checkAddress(fmt.Sprintf("peers[%d]", i), addr, true)
	}
	c.checkPlatform(s.Platform)
	for i, k := range s.OperatorKeys {
		c.checkOperatorKey(fmt.Sprintf("operator_keys[%d]", i), k)
	}
	c.checkLimits(s)
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "error")
	c.checkOneOf("log.format", s.Log.Format, "json", "text")
}

func (c *checker) checkLimits(s *Settings) {
	for _, n := range []struct {
		path  string
		value int64
	}{
		{"leave_grace_ms", int64(s.LeaveGraceMS)},
		{"limits.max_connections", int64(s.Limits.MaxConnections)},
		{"limits.max_header_bytes", int64(s.Limits.MaxHeaderBytes)},
		{"limits.max_body_bytes", s.Limits.MaxBodyBytes},
		{"limits.max_job_bytes", s.Limits.MaxJobBytes},
		{"limits.header_timeout_ms", int64(s.Limits.HeaderTimeoutMS)},
		{"limits.idle_timeout_ms", int64(s.Limits.IdleTimeoutMS)},
		{"limits.max_in_flight_per_team", int64(s.Limits.MaxInFlightPerTeam)},
		{"budget.writes_per_second", int64(s.Budget.WritesPerSecond)},
		{"budget.reads_per_second", int64(s.Budget.ReadsPerSecond)},
	} {
		if n.value < 0 {
			c.add(n.path, codeInvalid, fmt.Sprintf("%d is negative", n.value), "leave it out for the default")
		}
	}
}

func (c *checker) checkName(path, value string) {
	if value == "" {
		c.add(path, codeMissing, "is missing", "give a name such as entry-1")
	} else if !namePattern.MatchString(value) {
		c.add(path, codeInvalid, fmt.Sprintf("%q is not a valid name", value), "use a-z, 0-9, '.', '_' and '-', at most 63 characters")
	}
}

func (c *checker) checkAddress(path, value string, required bool) {
	if value == "" {
		if required {
			c.add(path, codeMissing, "is missing", "give host:port")
		}
		return
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.add(path, codeInvalid, fmt.Sprintf("%q is not host:port", value), "for example 127.0.0.1:7101")
	}
}

func (c *checker) checkPlatform(value string) {
	if value == "" {
		c.add("platform", codeMissing, "is missing", "give the base URL of the platform's service")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add("platform", codeInvalid, fmt.Sprintf("%q is not an http or https URL", value), "for example http://127.0.0.1:7000")
	}
}

func (c *checker) checkOperatorKey(path string, k OperatorKey) {
	c.checkName(path+".id", k.ID)
	if !hashPattern.MatchString(k.SHA256) {
		c.add(path+".sha256", codeInvalid, "is not a SHA-256 hash", "64 hexadecimal digits in lower case, as `cuminloft key new` prints them")
	}
}

func (c *checker) checkOneOf(path, value string, allowed ...string) {
	if value == "" {
		return
	}
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.add(path, codeInvalid, fmt.Sprintf("%q is not an allowed value", value), fmt.Sprintf("one of %v", allowed))
}

func (c *checker) add(path string, code strictjson.Code, message, remedy string) {
	c.problems = append(c.problems, c.document.Problem(path, code, message, remedy))
}
