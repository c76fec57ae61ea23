PROGRAMS = entry keeper node indigo stand bench
MODULES = . $(addprefix ./,$(PROGRAMS))
PACKAGES = ./... $(addsuffix /...,$(addprefix ./,$(PROGRAMS)))
DEPLOY ?= gunescati
FAULTS ?= faults
SEED ?= 1
SEEDS ?= 50

# Tests that KNOWN-RED.txt lists as "test: NAME" are passed over and printed.
RED = $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
SKIP = $(if $(RED),-skip '^($(RED))$$')

# Words of the users' pages that only platform/ may hold.
FOREIGN = "indigoglade/platform|X-Indigoglade|lastSeen|fencingToken|expectedRevision|run-start|run-stop|machine-upkeep|rows-tx

.PHONY: build demo test bench lint format unit race deploy border soak

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

demo: build
	@bash demo/run.sh $(DEPLOY) $(FAULTS)

test: lint deploy race bench

# Builds as the platform does, by the line of the deploy file.
deploy:
	@sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

# Only a program's main may join platform/ to the rest.
border:
	@if git grep -nE '$(FOREIGN)' -- '*.go' ':!platform' ':!*main.go'; then \
		echo "only platform/ may hold the platform's words"; exit 1; fi

lint: border
	@out=$$(go tool gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt:"; echo "$$out"; exit 1; fi
	go tool revive -set_exit_status $(PACKAGES)
	go vet $(PACKAGES)

format:
	go tool gofumpt -w .

unit:
	go test $(SKIP) $(PACKAGES)

race:
	go test -race $(SKIP) $(PACKAGES)
	@if [ -n "$(RED)" ]; then echo "known failures, not run:"; cat KNOWN-RED.txt; fi

# Real processes under faults; logs of failed seeds stay in bin/soak.
soak:
	go test ./platform/soak -run TestSoak -soakseed $(SEED) -soakseeds $(SEEDS) -parallel 3 -soakkeep $(CURDIR)/bin/soak -timeout 60m -v

bench: build
	@bin/bench measure --seed $(SEED)
