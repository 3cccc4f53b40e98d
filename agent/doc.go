// Package agent lets other entry hosts make the calls to workers of an owner whose own processor or link can't carry
// them. The owner decides and numbers everything; an agent makes a call only while the owner's permission for it lasts,
// and tells what came of it.
package agent
