package entry

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/httpjson"
	"cuminloft/internal/rpc"
	"cuminloft/internal/workload"
)

// NewBenchRelay returns a coordinator's relay through the hosts at the addresses, with no
// more than perSecond direct starts; 0: no limit.
func NewBenchRelay(direct workload.Commander, hosts []string, perSecond float64) workload.Commander {
	p := &peers{log: logr.Discard(), http: httpjson.NewClient(), clients: map[string]rpc.Cell{}, omitJobs: map[string]bool{}, backoffUntil: map[string]time.Time{}}
	r := newStartRelay(direct, p, 0)
	r.limitStarts(perSecond)
	var all []peer
	for _, address := range hosts {
		all = append(all, peer{hostRow: hostRow{Address: address, CoreShare: 1}})
	}
	r.hosts = func() []peer { return all }
	return r
}

// NewBenchHost returns the handler of a host that relays start orders.
func NewBenchHost(c workload.Commander) http.Handler {
	return rpc.NewCellServer(&relayService{starts: newStartServer(c)})
}
