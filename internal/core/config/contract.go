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
	start time.Time
}

// ParseDate reads a date as YYYY-MM-DD.
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

// End returns the first instant after the date.
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

// Expired reports whether the contract has ended.
func (c Contract) Expired(now time.Time) bool {
	return !now.Before(c.Expires.End())
}

// DaysLeft returns the number of days from the date of now in UTC to the contract's date: 0 on its last day, negative
// after it.
func (c Contract) DaysLeft(now time.Time) int {
	today := now.UTC().Truncate(day)
	return int(c.Expires.start.Sub(today) / day)
}

// EffectiveClass returns the class ceiling of an operation at a time. An expired contract lowers the ceiling of its
// services to normal. Services in no batch keep the configured class. Callers apply it to new requests only.
func (d *Document) EffectiveClass(now time.Time, service string, op Operation) call.Class {
	c, ok := d.serviceContract(service)
	if ok && c.Expired(now) {
		return min(op.Class, call.ClassNormal)
	}
	return op.Class
}

func (d *Document) serviceContract(service string) (Contract, bool) {
	if d.contracts != nil {
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

// warningDays are the days before the end of a contract at which a warning is due, in falling order. Day -1 is the
// notice that the contract has expired.
var warningDays = [...]int{30, 7, 1, -1}

// Warning is a notice that a contract is about to expire or has expired.
type Warning struct {
	Batch    string
	Contract Contract
	// DaysLeft is negative for an expired contract.
	DaysLeft int
}

// String returns the warning as one line for people.
func (w Warning) String() string {
	if w.DaysLeft < 0 {
		return fmt.Sprintf("contract %s of batch %s expired at the end of %s UTC; its services have at most class normal",
			w.Contract.Number, w.Batch, w.Contract.Expires)
	}
	return fmt.Sprintf("contract %s of batch %s expires at the end of %s UTC, %d day(s) left",
		w.Contract.Number, w.Batch, w.Contract.Expires, w.DaysLeft)
}

// Warnings returns the warnings that became due after the time of the last check, at most one for each batch. A zero
// last check stands for a start, at which the most urgent warning already reached is due.
func (d *Document) Warnings(last, now time.Time) []Warning {
	var due []Warning
	for _, b := range d.Batches {
		reached := warningsReached(b.Contract, now)
		if reached == 0 {
			continue
		}
		if !last.IsZero() && warningsReached(b.Contract, last) >= reached {
			continue
		}
		due = append(due, Warning{Batch: b.Name, Contract: b.Contract, DaysLeft: b.Contract.DaysLeft(now)})
	}
	return due
}

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
