package capacity

// The target size of an installation.
const (
	TargetHosts        = 890
	TargetAccelerators = 1100
	TargetPools        = 144
	TargetTeams        = 43
	TargetZones        = 8
	// TargetEntries is four entry hosts in each availability zone.
	TargetEntries = 4 * TargetZones
	// TargetChanges is the number of configuration changes per day.
	TargetChanges = 3200
)

// Limits of the cost of control per node at the target size.
const (
	// LimitCore is in percent of one core.
	LimitCore = 1.5
	// LimitMemory is in MiB.
	LimitMemory = 32
	// LimitTraffic is in kB per second.
	LimitTraffic = 21
)

// Limits of the platform's store, in calls per second.
const (
	LimitStoreWrites = 300
	LimitStoreReads  = 2000
)
