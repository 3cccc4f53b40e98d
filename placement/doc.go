// Package placement chooses workers for jobs, by observed sizes rather than
// declared ones, and keeps work off workers that fail everything.
package placement
