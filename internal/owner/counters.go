package owner

import "expvar"

// counters holds the metrics of all owners of this process.
var counters = expvar.NewMap("owner")
