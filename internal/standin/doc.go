// Package standin holds small fakes of the platform (table, object store, host
// list) and of the workers. They implement the interfaces of packages platform
// and worker in memory, can be served over HTTP, and can be told to fail.
//
// All state advances with the clock of package time when it is looked at; no
// goroutine outlives a call, so the fakes can be used under testing/synctest.
package standin
