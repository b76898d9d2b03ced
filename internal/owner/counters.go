package owner

import "expvar"

// counters of all owners of this process.
var counters = expvar.NewMap("owner")
