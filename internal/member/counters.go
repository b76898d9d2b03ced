package member

import "expvar"

// counters are the counters of the membership protocol, published as "member".
var counters = expvar.NewMap("member")
