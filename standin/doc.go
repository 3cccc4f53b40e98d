// Package standin provides fakes of the platform and of endpoints, in memory or
// over HTTP, with injection of the faults that lycheehook has to tolerate.
//
// They are used by tests and by the dev command.
package standin
