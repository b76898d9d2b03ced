// Package standin holds in-memory fakes of the platform (table, object store, host
// list) and of the workers. They implement the interfaces of packages platform and
// worker, can be served over HTTP, and can inject faults.
//
// A fake computes its state from the clock of package time at each call, and starts no
// goroutine that outlives a call, so the fakes can be used under testing/synctest.
package standin
