package configsync

import "expvar"

// counters of the configuration's synchronisation, published as "configsync".
var counters = expvar.NewMap("configsync")
