package cli

type benchCommand struct{}
