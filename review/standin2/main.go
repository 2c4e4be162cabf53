// Command reviewcase plays one case of the review on loopback. It runs the system's own program as separate processes, and the
// stand-ins of the store, the searchers and the clients in its own process. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case couldn't run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns the number of breaches of the rule.
var cases = map[string]func(root, dir string, trouble bool) (breaches int, err error){
	"silent": playSilent,
	"deadly": playDeadly,
	"cold":   playCold,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE REPOSITORY FOLDER")
		os.Exit(exitNotRun)
	}
	breaches, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(exitNotRun)
	case breaches > 0:
		fmt.Println("the rule was broken:", breaches)
		os.Exit(exitBroken)
	default:
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	}
}
