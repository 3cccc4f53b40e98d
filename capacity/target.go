package capacity

// The size that the design has to carry.
const (
	TargetHosts        = 890
	TargetAccelerators = 1100
	TargetPools        = 144
	TargetTeams        = 43
	TargetZones        = 8
	// TargetEntries is four entry hosts in each availability zone.
	TargetEntries = 4 * TargetZones
	// TargetChanges counts changes of configuration a day.
	TargetChanges = 3200
)

// What control may cost a node at the target size.
const (
	// LimitCore is in percent of one core.
	LimitCore = 1.5
	// LimitMemory is in MiB.
	LimitMemory = 32
	// LimitTraffic is in kB a second.
	LimitTraffic = 21
)

// What the platform's store carries, in calls a second.
const (
	LimitStoreWrites = 300
	LimitStoreReads  = 2000
)
