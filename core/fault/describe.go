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
	switch kind {
	case UnknownCustomer:
		return description{NotRun, stateInvalidAuthorization, "apply a contract for this customer, or correct the user name"}
	case UnknownDatabase:
		return description{NotRun, stateUnknownDatabase, "correct the database name, or add it to a group"}
	case GroupForbidden:
		return description{NotRun, stateInvalidAuthorization, "add the group to the customer's contract"}
	case QueueFull:
		return description{NotRun, stateTooManyConnections, "send the request again later, or raise queueLength in the contract"}
	case QueueTimeout:
		return description{NotRun, stateTooManyConnections, "send the request again later, or raise connections in the contract"}
	case RateExceeded:
		return description{NotRun, stateOverloaded, "slow down, or raise requestRate in the contract"}
	case NoOwner:
		return description{NotRun, stateNotNow, "send the request again; another instance is taking over"}
	case NoPrimary:
		return description{NotRun, stateNotNow, "send the request again; a primary is being promoted"}
	case ReplicationBehind:
		return description{NotRun, stateNotNow, "send the request again when the replicas have caught up"}
	case Isolated:
		return description{NotRun, stateNotNow, "connect to another instance; this one hears neither the store nor enough peers"}
	case Stopping:
		return description{NotRun, stateNotNow, "connect to another instance; this one is stopping"}
	case OutcomeUnknown:
		return description{Unknown, stateUnknownResolution, "read the data, or repeat with the same request key, before sending it again"}
	case AlreadyRun:
		return description{Failed, stateUniqueViolation, "do not send it again; the request with this key has run"}
	case LeaseLost:
		return description{NotRun, stateNotNow, "send the read again; the owner of the database changed"}
	case ProtocolViolation:
		return description{NotRun, stateProtocolViolation, "send well-formed messages within the size limit"}
	case StatementTimeout:
		return description{Unknown, stateQueryCanceled, "send smaller requests, or raise statementTimeout in the contract"}
	case InvalidContract:
		return description{NotRun, stateInvalidParameter, "correct the contract and apply it again"}
	case RevisionConflict:
		return description{NotRun, stateSerialization, "get the current contract, repeat the change on it and apply again"}
	case StoreUnavailable:
		return description{Unknown, stateNotNow, "try again when the platform's store answers"}
	case InvalidSettings:
		return description{NotRun, stateInvalidParameter, "correct the settings named"}
	default:
		return description{Unknown, stateNotNow, "report this error kind to the maintainers"}
	}
}
