package config

import (
	"fmt"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

const dateLayout = "2006-01-02"

// day is the length of a day in UTC, which has no daylight saving time.
const day = 24 * time.Hour

// Date is a calendar date in UTC.
type Date struct {
	start time.Time // midnight at the start of the date
}

// ParseDate parses a date of the form YYYY-MM-DD.
func ParseDate(s string) (Date, error) {
	t, err := time.Parse(dateLayout, s)
	if err != nil {
		return Date{}, fmt.Errorf("date %q: want YYYY-MM-DD", s)
	}
	return Date{start: t}, nil
}

// String returns the date as YYYY-MM-DD.
func (d Date) String() string {
	return d.start.Format(dateLayout)
}

// End returns the first instant after the date, midnight UTC of the next day.
func (d Date) End() time.Time {
	return d.start.Add(day)
}

// MarshalText implements encoding.TextMarshaler.
func (d Date) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Date) UnmarshalText(text []byte) error {
	parsed, err := ParseDate(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}

// Expired reports whether the contract has expired at now.
func (c Contract) Expired(now time.Time) bool {
	return !now.Before(c.Expires.End())
}

// DaysLeft returns the number of days from the UTC date of now to the contract's last day: 0 on that day, negative
// after it.
func (c Contract) DaysLeft(now time.Time) int {
	today := now.UTC().Truncate(day)
	return int(c.Expires.start.Sub(today) / day)
}

// EffectiveClass returns the highest class that requests for an operation of a service may have at now. That is the
// configured class, but at most normal once the contract of the service's batch has expired. Services in no batch keep
// the configured class. Callers apply the result to new requests only.
func (d *Document) EffectiveClass(now time.Time, service string, op Operation) call.Class {
	c, ok := d.serviceContract(service)
	if ok && c.Expired(now) {
		return min(op.Class, call.ClassNormal)
	}
	return op.Class
}

// serviceContract returns the contract of a service's batch, and false if the service is in no batch.
func (d *Document) serviceContract(service string) (Contract, bool) {
	if d.contracts != nil { // nil if the lookup tables have not been built
		c, ok := d.contracts[service]
		return c, ok
	}
	for _, b := range d.Batches {
		for _, s := range b.Services {
			if s == service {
				return b.Contract, true
			}
		}
	}
	return Contract{}, false
}

// warningDays lists the numbers of days left at which a warning becomes due, in descending order. At -1 the contract
// has expired.
var warningDays = [...]int{30, 7, 1, -1}

// Warning is a notice that a contract is about to expire or has expired.
type Warning struct {
	Batch    string
	Contract Contract
	// DaysLeft is negative for an expired contract.
	DaysLeft int
}

// String returns the warning as one readable line.
func (w Warning) String() string {
	if w.DaysLeft < 0 {
		return fmt.Sprintf("contract %s of batch %s expired at the end of %s UTC; its services have at most class normal",
			w.Contract.Number, w.Batch, w.Contract.Expires)
	}
	return fmt.Sprintf("contract %s of batch %s expires at the end of %s UTC, %d day(s) left",
		w.Contract.Number, w.Batch, w.Contract.Expires, w.DaysLeft)
}

// Warnings returns the warnings that became due after lastCheck and up to now, at most one for each batch. A zero
// lastCheck stands for the first check after a start; every batch that has reached a warning threshold then gets a
// warning, for the most urgent threshold it has reached.
func (d *Document) Warnings(lastCheck, now time.Time) []Warning {
	var due []Warning
	for _, b := range d.Batches {
		reached := warningsReached(b.Contract, now)
		if reached == 0 {
			continue
		}
		if !lastCheck.IsZero() && warningsReached(b.Contract, lastCheck) >= reached {
			continue
		}
		due = append(due, Warning{Batch: b.Name, Contract: b.Contract, DaysLeft: b.Contract.DaysLeft(now)})
	}
	return due
}

// warningsReached returns the number of entries of warningDays that a contract has reached at now.
func warningsReached(c Contract, now time.Time) int {
	left := c.DaysLeft(now)
	n := 0
	for _, days := range warningDays {
		if left <= days {
			n++
		}
	}
	return n
}
