// Command sim plays the scripts of the review: it starts managers as separate processes beside stand-ins of clients, runners and the
// platform, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the scripts by name. Each returns what breaks its rule.
var cases = map[string]func(program, record string, trouble bool, keep string) ([]string, error){
	"crashes": crashes,
	"reborn":  reborn,
	"foreign": foreign,
	"clock":   clock,
	"pending": pending,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/lycheehook", "the manager's program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("keep", "", "folder that gets the managers' logs")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	breaches, err := play(*program, *record, os.Getenv("TROUBLE") != "0", *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
	for _, b := range breaches {
		fmt.Println(b)
	}
	if len(breaches) > 0 {
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
