package limit

import (
	"sort"

	glade "indigoglade"
)

// Lend answers a loan request. The units are subtracted from the own share
// before it returns. A loan of 0 units is a refusal.
func (l *Limiter) Lend(contract glade.Contract, request LoanRequest) Loan {
	q := l.currentQuota(contract)
	refusal := Loan{Lender: l.config.Self, RunID: l.config.RunID, Customer: request.Customer}
	if !l.IsRecovered() || request.Version != q.contract.Version() || q.refused > 0 || request.From == l.config.Self {
		return refusal
	}
	recovered := l.IsRecovered()
	idle := q.ownUnits(recovered) - reserveUnits(q.share)
	units := min(request.Units, idle, q.capacity(recovered)-max(q.inFlight, q.peak))
	if units <= 0 {
		return refusal
	}
	l.loanSeq++
	loan := Loan{
		Lender: l.config.Self, RunID: l.config.RunID, Seq: l.loanSeq,
		Customer: request.Customer, Version: request.Version, Units: units,
	}
	q.lent[loan.Seq] = loan
	l.borrowers[loan.Seq] = request.From
	return loan
}

// AcceptLoan records a loan that answers a request, and returns whether it did. A
// duplicate answer is ignored. So is the answer to a request from before the
// lender's last audit, because the audit has reported that the loan is not
// held.
func (l *Limiter) AcceptLoan(request LoanRequest, loan Loan) bool {
	if loan.Units <= 0 || request.Seq <= l.staleSeq[loan.Lender] {
		return false
	}
	q := l.quotaOf(loan.Customer)
	if _, known := q.held[loan.key()]; known {
		return false
	}
	q.held[loan.key()] = &heldLoan{loan: loan, ending: loan.Version != q.contract.Version()}
	return true
}

// HandleAudit reports which loans of a lender this process holds. Answers of that
// lender to earlier loan requests are not accepted afterwards, however late
// they arrive.
func (l *Limiter) HandleAudit(audit Audit) AuditReply {
	l.staleSeq[audit.Lender] = l.requestSeq
	recall := make(map[glade.Customer]bool, len(audit.Recall))
	for _, customer := range audit.Recall {
		recall[customer] = true
	}
	var answer AuditReply
	for _, customer := range l.customers() {
		q := l.quotas[customer]
		for _, k := range sortedKeys(q.held) {
			h := q.held[k]
			if k.lender != audit.Lender {
				continue
			}
			answer.Loans = append(answer.Loans, h.loan)
			h.ending = h.ending || recall[customer]
		}
	}
	return answer
}

// HandleAuditReply applies a borrower's answer: loans that it does not hold have
// ended, and loans that an earlier process of this node granted are taken over.
func (l *Limiter) HandleAuditReply(from glade.Node, audit Audit, answer AuditReply) {
	holds := make(map[loanKey]bool)
	for _, loan := range answer.Loans {
		holds[loan.key()] = true
	}
	for _, seq := range l.lentTo(from) {
		loan := l.lent(seq)
		if audit.covers(loan) && !holds[loan.key()] {
			l.endLoan(seq)
		}
	}
	if l.unaudited[from] {
		l.takeOverLoans(from, answer)
		delete(l.unaudited, from)
	}
}

// covers returns whether the loan was granted before the audit was sent.
func (a Audit) covers(loan Loan) bool { return loan.RunID != a.RunID || loan.Seq <= a.LastSeq }

func (l *Limiter) lentTo(node glade.Node) []uint64 {
	var seqs []uint64
	for seq, borrower := range l.borrowers {
		if borrower == node {
			seqs = append(seqs, seq)
		}
	}
	return seqs
}

func (l *Limiter) lent(seq uint64) Loan {
	for _, q := range l.quotas {
		if loan, ok := q.lent[seq]; ok {
			return loan
		}
	}
	return Loan{}
}

// takeOverLoans records loans that an earlier process of this node granted as
// lent by this one.
func (l *Limiter) takeOverLoans(from glade.Node, answer AuditReply) {
	for _, loan := range answer.Loans {
		l.loanSeq++
		l.quotaOf(loan.Customer).lent[l.loanSeq] = loan
		l.borrowers[l.loanSeq] = from
	}
}

// HandleReturn records that a borrower gave a loan back. A duplicate has no effect.
func (l *Limiter) HandleReturn(loan Loan) {
	for _, seq := range l.lentSeqs(loan.Customer) {
		if l.quotas[loan.Customer].lent[seq].key() == loan.key() {
			l.endLoan(seq)
		}
	}
}

func (l *Limiter) lentSeqs(customer glade.Customer) []uint64 {
	var seqs []uint64
	for seq := range l.quotaOf(customer).lent {
		seqs = append(seqs, seq)
	}
	sort.Slice(seqs, func(i, j int) bool { return seqs[i] < seqs[j] })
	return seqs
}

func (l *Limiter) endLoan(seq uint64) {
	delete(l.borrowers, seq)
	for _, q := range l.quotas {
		delete(q.lent, seq)
	}
}

// Leave marks all loans that are held here as ending, and returns those that no
// request in flight needs.
func (l *Limiter) Leave() []Loan {
	var returned []Loan
	for _, customer := range l.customers() {
		q := l.quotas[customer]
		for _, h := range q.held {
			h.ending = true
		}
		returned = append(returned, q.releaseEnding(l.IsRecovered())...)
	}
	return returned
}

// HasOutstandingLoans returns whether another node may hold a loan of this process.
func (l *Limiter) HasOutstandingLoans() bool { return len(l.borrowers) > 0 }
