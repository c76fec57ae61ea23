package limit

import (
	"sort"

	glade "indigoglade"
)

// Lend answers a borrower. The units are off the own part when it returns; a
// loan of 0 units is none.
func (l *Limiter) Lend(contract glade.Contract, ask Ask) Loan {
	a := l.account(contract)
	none := Loan{Lender: l.config.Self, Run: l.config.Run, Customer: ask.Customer}
	if !l.IsSettled() || ask.Version != a.contract.Version() || a.refused > 0 || ask.From == l.config.Self {
		return none
	}
	settled := l.IsSettled()
	idle := a.own(settled) - reserveOf(a.share)
	units := min(ask.Units, idle, a.capacity(settled)-max(a.flight, a.peak))
	if units <= 0 {
		return none
	}
	l.seq++
	loan := Loan{
		Lender: l.config.Self, Run: l.config.Run, Seq: l.seq,
		Customer: ask.Customer, Version: ask.Version, Units: units,
	}
	a.lent[loan.Seq] = loan
	l.borrower[loan.Seq] = ask.From
	return loan
}

// Borrow takes up a loan that came as the answer to ask, and tells whether it
// did. An answer that arrives twice counts once, and one to an ask from before
// the lender's last audit counts not at all: the audit has said that the loan
// is not held.
func (l *Limiter) Borrow(ask Ask, loan Loan) bool {
	if loan.Units <= 0 || ask.Number <= l.void[loan.Lender] {
		return false
	}
	a := l.accountOf(loan.Customer)
	if _, known := a.held[loan.key()]; known {
		return false
	}
	a.held[loan.key()] = &held{loan: loan, ending: loan.Version != a.contract.Version()}
	return true
}

// Answer tells a lender which of its loans are held here. From then on no
// answer to an earlier ask is taken up, however late it arrives.
func (l *Limiter) Answer(audit Audit) Held {
	l.void[audit.Lender] = l.asked
	recalled := make(map[glade.Customer]bool, len(audit.Recall))
	for _, customer := range audit.Recall {
		recalled[customer] = true
	}
	var answer Held
	for _, customer := range l.customers() {
		a := l.accounts[customer]
		for _, k := range sortedKeys(a.held) {
			h := a.held[k]
			if k.lender != audit.Lender {
				continue
			}
			answer.Loans = append(answer.Loans, h.loan)
			h.ending = h.ending || recalled[customer]
		}
	}
	return answer
}

// Audited takes up a borrower's answer: loans that it does not hold are over,
// and loans of an earlier process of this node are taken over.
func (l *Limiter) Audited(from glade.Node, audit Audit, answer Held) {
	holds := make(map[key]bool)
	for _, loan := range answer.Loans {
		holds[loan.key()] = true
	}
	for _, seq := range l.lentTo(from) {
		loan := l.lent(seq)
		if audit.covers(loan) && !holds[loan.key()] {
			l.end(seq)
		}
	}
	if l.unheard[from] {
		l.inherit(from, answer)
		delete(l.unheard, from)
	}
}

// covers tells whether the loan was given before the audit.
func (a Audit) covers(loan Loan) bool { return loan.Run != a.Run || loan.Seq <= a.Last }

func (l *Limiter) lentTo(node glade.Node) []uint64 {
	var seqs []uint64
	for seq, borrower := range l.borrower {
		if borrower == node {
			seqs = append(seqs, seq)
		}
	}
	return seqs
}

func (l *Limiter) lent(seq uint64) Loan {
	for _, a := range l.accounts {
		if loan, ok := a.lent[seq]; ok {
			return loan
		}
	}
	return Loan{}
}

// inherit counts the loans of an earlier process as lent by this one.
func (l *Limiter) inherit(from glade.Node, answer Held) {
	for _, loan := range answer.Loans {
		l.seq++
		l.accountOf(loan.Customer).lent[l.seq] = loan
		l.borrower[l.seq] = from
	}
}

// Returned records that a borrower gave a loan back. It may be said twice.
func (l *Limiter) Returned(loan Loan) {
	for _, seq := range l.lentSeqs(loan.Customer) {
		if l.accounts[loan.Customer].lent[seq].key() == loan.key() {
			l.end(seq)
		}
	}
}

func (l *Limiter) lentSeqs(customer glade.Customer) []uint64 {
	var seqs []uint64
	for seq := range l.accountOf(customer).lent {
		seqs = append(seqs, seq)
	}
	sort.Slice(seqs, func(i, j int) bool { return seqs[i] < seqs[j] })
	return seqs
}

func (l *Limiter) end(seq uint64) {
	delete(l.borrower, seq)
	for _, a := range l.accounts {
		delete(a.lent, seq)
	}
}

// Leave ends every loan that is held here, and returns those that nothing in
// flight rests on.
func (l *Limiter) Leave() []Loan {
	var done []Loan
	for _, customer := range l.customers() {
		a := l.accounts[customer]
		for _, h := range a.held {
			h.ending = true
		}
		done = append(done, a.release(l.IsSettled())...)
	}
	return done
}

// HasLent tells whether a loan of this process may be held by another.
func (l *Limiter) HasLent() bool { return len(l.borrower) > 0 }
