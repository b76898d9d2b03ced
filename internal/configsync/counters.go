package configsync

import "expvar"

// counters holds the counters of this package, published as "configsync".
var counters = expvar.NewMap("configsync")
