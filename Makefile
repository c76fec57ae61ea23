PROGRAMS = entry keeper node indigo stand bench
MODULES = . $(addprefix ./,$(PROGRAMS))
PACKAGES = ./... $(addsuffix /...,$(addprefix ./,$(PROGRAMS)))
# The tests of crowds measure the memory of a process and run apart from others.
CROWD = ./platform/crowd
OTHERS = $$(go list $(PACKAGES) | grep -v '/platform/crowd$$')
DEPLOY ?= gunescati
FAULTS ?= faults
SEED ?= 1
SEEDS ?= 50

# Tests listed in KNOWN-RED.txt as "test: NAME" are skipped; make race prints the list.
RED = $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
SKIP = $(if $(RED),-skip '^($(RED))$$')

# Names from the platform's own API that only platform/ may use.
FOREIGN = "indigoglade/platform|X-Indigoglade|lastSeen|fencingToken|expectedRevision|run-start|run-stop|machine-upkeep|rows-tx

.PHONY: build demo test bench lint format unit race deploy border soak

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

demo: build
	@bash demo/run.sh $(DEPLOY) $(FAULTS)

test: lint deploy race bench

# Builds like the platform, with the build command of the deploy file.
deploy:
	@sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

# Fails if code outside platform/ uses names of the platform's API. main files may, to wire platform/ in.
border:
	@if git grep -nE '$(FOREIGN)' -- '*.go' ':!platform' ':!*main.go'; then \
		echo "only platform/ may hold the platform's words"; exit 1; fi

lint: border
	@out=$$(go tool gofumpt -l .) || exit 1; if [ -n "$$out" ]; then echo "gofumpt:"; echo "$$out"; exit 1; fi
	go tool revive -set_exit_status $(PACKAGES)
	go vet $(PACKAGES)

format:
	go tool gofumpt -w .

unit:
	go test $(SKIP) $(OTHERS)
	go test $(SKIP) $(CROWD)

race:
	go test -race $(SKIP) $(OTHERS)
	go test -race $(SKIP) $(CROWD)
	@if [ -n "$(RED)" ]; then echo "known failures, not run:"; cat KNOWN-RED.txt; fi

# Runs real processes under injected faults; logs of failed seeds are kept in bin/soak.
soak:
	go test ./platform/soak -run TestSoak -soakseed $(SEED) -soakseeds $(SEEDS) -parallel 3 -soakkeep $(CURDIR)/bin/soak -timeout 60m -v

bench: build
	@bin/bench measure --seed $(SEED)
