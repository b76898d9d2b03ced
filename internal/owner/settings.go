package owner

import "time"

// Periods and bounds of an owner.
const (
	aliveEvery    = 2 * time.Second        // between signs of life in the table
	ownerRowRetry = 100 * time.Millisecond // between tries to write the owner row
	inboxSize     = 1024                   // messages
)
