// Package endpoint keeps the slots of endpoints and sends requests to them.
package endpoint
