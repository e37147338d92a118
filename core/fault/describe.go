package fault

type description struct {
	outcome  Outcome
	sqlState string
	remedy   string
}

const (
	stateInvalidAuthorization = "28000"
	stateUnknownDatabase      = "3D000"
	stateTooManyConnections   = "53300"
	stateOverloaded           = "53400"
	stateNotNow               = "57P03"
	stateUnknownResolution    = "08007"
	stateProtocolViolation    = "08P01"
	stateQueryCanceled        = "57014"
	stateUniqueViolation      = "23505"
	stateInvalidParameter     = "22023"
	stateSerialization        = "40001"
)

func describe(kind Kind) description {
	if d, ok := descriptions[kind]; ok {
		return d
	}
	return description{Unknown, stateNotNow, "report this error kind to the maintainers"}
}

var descriptions = map[Kind]description{
	UnknownCustomer:   {NotRun, stateInvalidAuthorization, "apply a contract for this customer, or correct the user name"},
	UnknownDatabase:   {NotRun, stateUnknownDatabase, "correct the database name, or add it to a group"},
	GroupForbidden:    {NotRun, stateInvalidAuthorization, "add the group to the customer's contract"},
	QueueFull:         {NotRun, stateTooManyConnections, "send the request again later, or raise queueLength in the contract"},
	QueueTimeout:      {NotRun, stateTooManyConnections, "send the request again later, or raise connections in the contract"},
	RateExceeded:      {NotRun, stateOverloaded, "slow down, or raise requestRate in the contract"},
	NoOwner:           {NotRun, stateNotNow, "send the request again; another instance is taking over"},
	NoPrimary:         {NotRun, stateNotNow, "send the request again; a primary is being promoted"},
	ReplicationBehind: {NotRun, stateNotNow, "send the request again when the replicas have caught up"},
	Isolated:          {NotRun, stateNotNow, "connect to another instance; this one hears neither the store nor enough peers"},
	Stopping:          {NotRun, stateNotNow, "connect to another instance; this one is stopping"},
	OutcomeUnknown:    {Unknown, stateUnknownResolution, "read the data, or repeat with the same request key, before sending it again"},
	AlreadyRun:        {Failed, stateUniqueViolation, "do not send it again; the request with this key has run"},
	KeyBusy:           {NotRun, stateNotNow, "send the request again with the same key; another run of it has not ended yet"},
	LeaseLost:         {NotRun, stateNotNow, "send the read again; the owner of the database changed"},
	ProtocolViolation: {NotRun, stateProtocolViolation, "send well-formed messages within the size limit"},
	StatementTimeout:  {Unknown, stateQueryCanceled, "send smaller requests, or raise statementTimeout in the contract"},
	InvalidContract:   {NotRun, stateInvalidParameter, "correct the contract and apply it again"},
	RevisionConflict:  {NotRun, stateSerialization, "get the current contract, repeat the change on it and apply again"},
	StoreUnavailable:  {Unknown, stateNotNow, "try again when the platform's store answers"},
	InvalidSettings:   {NotRun, stateInvalidParameter, "correct the settings named"},
}
