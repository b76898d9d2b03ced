package model

// WorkerSpec is the declaration of a worker in the configuration.
type WorkerSpec struct {
	ID          string    `json:"id"`
	Addr        string    `json:"addr"` // host:port of the worker's HTTP interface
	AZ          string    `json:"az"`
	Rack        string    `json:"rack"`
	Capacity    Resources `json:"capacity"`
	Connections int       `json:"connections"` // concurrent direct connections
}
