package fault

// description holds what is the same for all faults of a kind.
type description struct {
	outcome  Outcome
	sqlState string
	remedy   string
}

// SQLSTATE codes, named after PostgreSQL's condition names.
const (
	sqlStateInvalidAuthorization         = "28000"
	sqlStateInvalidCatalogName           = "3D000"
	sqlStateTooManyConnections           = "53300"
	sqlStateConfigurationLimitExceeded   = "53400"
	sqlStateCannotConnectNow             = "57P03"
	sqlStateTransactionResolutionUnknown = "08007"
	sqlStateProtocolViolation            = "08P01"
	sqlStateQueryCanceled                = "57014"
	sqlStateUniqueViolation              = "23505"
	sqlStateInvalidParameterValue        = "22023"
	sqlStateSerializationFailure         = "40001"
)

func describe(kind Kind) description {
	if d, ok := descriptions[kind]; ok {
		return d
	}
	return description{Unknown, sqlStateCannotConnectNow, "report this error kind to the maintainers"}
}

var descriptions = map[Kind]description{
	UnknownCustomer:   {NotRun, sqlStateInvalidAuthorization, "apply a contract for this customer, or correct the user name"},
	UnknownDatabase:   {NotRun, sqlStateInvalidCatalogName, "correct the database name, or add it to a group"},
	GroupForbidden:    {NotRun, sqlStateInvalidAuthorization, "add the group to the customer's contract"},
	QueueFull:         {NotRun, sqlStateTooManyConnections, "send the request again later, or raise queueLength in the contract"},
	QueueTimeout:      {NotRun, sqlStateTooManyConnections, "send the request again later, or raise connections in the contract"},
	RateExceeded:      {NotRun, sqlStateConfigurationLimitExceeded, "slow down, or raise requestRate in the contract"},
	NoOwner:           {NotRun, sqlStateCannotConnectNow, "send the request again; another instance is taking over"},
	NoPrimary:         {NotRun, sqlStateCannotConnectNow, "send the request again; a primary is being promoted"},
	ReplicationBehind: {NotRun, sqlStateCannotConnectNow, "send the request again when the replicas have caught up"},
	Isolated:          {NotRun, sqlStateCannotConnectNow, "connect to another instance; this one reaches neither the store nor enough other instances"},
	Stopping:          {NotRun, sqlStateCannotConnectNow, "connect to another instance; this one is stopping"},
	OutcomeUnknown:    {Unknown, sqlStateTransactionResolutionUnknown, "read the data, or repeat with the same request key, before sending it again"},
	AlreadyRun:        {Failed, sqlStateUniqueViolation, "do not send it again; the request with this key has run"},
	KeyBusy:           {NotRun, sqlStateCannotConnectNow, "send the request again with the same key; another run of it has not ended yet"},
	LeaseLost:         {NotRun, sqlStateCannotConnectNow, "send the read again; the owner of the database changed"},
	ProtocolViolation: {NotRun, sqlStateProtocolViolation, "send well-formed messages within the size limit"},
	StatementTimeout:  {Unknown, sqlStateQueryCanceled, "send smaller requests, or raise statementTimeout in the contract"},
	InvalidContract:   {NotRun, sqlStateInvalidParameterValue, "correct the contract and apply it again"},
	RevisionConflict:  {NotRun, sqlStateSerializationFailure, "get the current contract, repeat the change on it and apply again"},
	StoreUnavailable:  {Unknown, sqlStateCannotConnectNow, "try again when the platform's store answers"},
	InvalidSettings:   {NotRun, sqlStateInvalidParameterValue, "correct the settings named"},
}
