package cli

import (
	"fmt"
	"io"
	"strings"

	"cuminloft/api"
)

type statusCommand struct {
	Workers bool `help:"List workers too."`
	Teams   bool `help:"List what each team uses and waits for."`
}

// Run prints the state of the configuration, AZs, hosts and shards, and of workers and teams
// on request.
func (c *statusCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	st, err := client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.printer().value(st, func(w io.Writer) {
		printConfigState(w, st)
		printAZs(w, st)
		printHosts(w, st)
		printShards(w, st)
		if c.Workers {
			printWorkers(w, st)
		}
		if c.Teams {
			printTeams(w, st)
		}
		for _, host := range st.Missing {
			s.notef("entry host %s did not answer", host)
		}
	})
}

func printConfigState(w io.Writer, st api.StatusReply) {
	_, _ = fmt.Fprintf(w, "configuration: accepted %d", st.Accepted)
	if st.Staged > st.Accepted {
		_, _ = fmt.Fprintf(w, ", staged %d, waiting for %s", st.Staged, strings.Join(st.Waiting, "; "))
	}
	_, _ = fmt.Fprintln(w)
	if !st.TableReachable {
		_, _ = fmt.Fprintf(w, "the platform's table cannot be reached from %s\n", st.Host)
	}
}

func printAZs(w io.Writer, st api.StatusReply) {
	rows := make([][]any, len(st.AZs))
	for i, az := range st.AZs {
		state := "in service"
		if !az.InService {
			state = "out"
		}
		rows[i] = []any{az.AZ, state, az.Workers}
	}
	table(w, "AZ\tSTATE\tWORKERS", rows)
}

func printHosts(w io.Writer, st api.StatusReply) {
	rows := make([][]any, len(st.Hosts))
	for i, h := range st.Hosts {
		rows[i] = []any{h.Host, h.AZ, h.Addr, h.State}
	}
	table(w, "HOST\tAZ\tADDRESS\tSTATE", rows)
}

func printShards(w io.Writer, st api.StatusReply) {
	rows := make([][]any, len(st.Shards))
	for i, sh := range st.Shards {
		state := "no owner"
		switch {
		case sh.Ready:
			state = "ready"
		case sh.Owner != "":
			state = "taking over"
		}
		rows[i] = []any{
			sh.Shard, sh.AZ, sh.Owner, sh.Fence, state,
			percent(sh.Used.MilliCores, sh.Capacity.MilliCores),
			percent(sh.Used.Slots, sh.Capacity.Slots),
			sh.DirectPending, sh.JobsPending,
		}
	}
	table(w, "SHARD\tAZ\tOWNER\tFENCE\tSTATE\tCORES\tSLOTS\tDIRECT WAITING\tJOBS WAITING", rows)
}

func printWorkers(w io.Writer, st api.StatusReply) {
	rows := make([][]any, len(st.Workers))
	for i, wk := range st.Workers {
		rows[i] = []any{
			wk.Worker, wk.AZ, wk.Rack, wk.State, wk.Running,
			percent(wk.Used.MilliCores, wk.Capacity.MilliCores),
			percent(wk.Used.MemoryMB, wk.Capacity.MemoryMB),
		}
	}
	table(w, "WORKER\tAZ\tRACK\tSTATE\tRUNNING\tCORES\tMEMORY", rows)
}

func printTeams(w io.Writer, st api.StatusReply) {
	var rows [][]any
	for _, sh := range st.Shards {
		for _, t := range sh.Teams {
			rows = append(rows, []any{t.Team, sh.Shard, t.Used, t.Pending})
		}
	}
	table(w, "TEAM\tSHARD\tUSED\tWAITING", rows)
}

func percent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*part/whole)
}
