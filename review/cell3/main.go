// Command cell3 plays the cases of the third review that are scripts: a small cell on loopback
// whose entry hosts are processes of the deploy file.
//
//	cell3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 it plays the case without the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held       = 0
	broken     = 1
	couldNot   = 2
	wantedArgs = 3
)

var cases = map[string]func(*recorder, bool) (int, error){
	"late-order": playLateOrder,
}

func main() {
	if len(os.Args) != wantedArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cell3 CASE RECORD")
		os.Exit(couldNot)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	result, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		result = couldNot
	}
	rec.close()
	os.Exit(result)
}
