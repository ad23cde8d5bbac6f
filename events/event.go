// Package events defines the numbers of log events; docs/events.md describes each one.
package events

import "log/slog"

// Event is the number of a log event. The number of a removed event is never reused.
type Event int

// The events of a node.
const (
	NodeStarted         Event = 1001
	NodeLeaving         Event = 1002
	NodeStopped         Event = 1003
	NodeSuperseded      Event = 1004
	ConfigAdopted       Event = 2001
	ConfigAccepted      Event = 2002
	ConfigRefused       Event = 2003
	ConfigUnreadable    Event = 2004
	PlatformFailed      Event = 2101
	PlatformRegained    Event = 2102
	StoreRestored       Event = 2103
	NodeReloaded        Event = 1005
	HubChanged          Event = 3003
	NodeLost            Event = 3004
	PathsChanged        Event = 3005
	MembershipEnded     Event = 3006
	ReplicaChanged      Event = 4004
	ReplicaFailed       Event = 4005
	RateLimited         Event = 4006
	ReplicaCrashed      Event = 4007
	Quarantined         Event = 4008
	EvacuationChanged   Event = 4009
	RequestEnded        Event = 5003
	ConnectionClosed    Event = 5004
	HandlerPanicked     Event = 5005
	RequestCrossedClose Event = 5006
	CallerCutOff        Event = 5008
	CallersLimited      Event = 5007
	LinesDropped        Event = 1006
	LibraryMessage      Event = 1007
	PeerMalformed       Event = 3001
	PeerUnreachable     Event = 3002
	EngineUnreachable   Event = 4001
	EngineCancelled     Event = 4002
	BackendLeaving      Event = 4003
	StreamRetried       Event = 5001
	RequestFailed       Event = 5002
	OrderSent           Event = 6001
	OrderFailed         Event = 6002
	LeaderChanged       Event = 6003
)

// Attr returns the event number as a log attribute.
func (e Event) Attr() slog.Attr { return slog.Int("event", int(e)) }
