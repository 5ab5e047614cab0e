#!/usr/bin/env bash
# Which Debian packages a clean build of a deploy file needs, and whether its `packages` name them.
#
#   scripts/build-packages.sh trace FILE...   build with empty caches and without a .git under strace, some minutes (needs strace and the
#                                             module proxy), map each program that was run and each file that was read to its package, and fail
#                                             if one is in no listed package's closure; files of /etc that belong to no package are only named
#   scripts/build-packages.sh check FILE...   the same for the programs that a build runs, found without strace or a build; CI runs this
#
# The closure of a package is what it depends on, by the packages that are installed here, and Debian's essential packages. Go's own tool
# chain, the caches, the checkout and the kernel's file systems belong to no package.
set -euo pipefail
cd "$(dirname "$0")/.."

# setting KEY FILE prints a text or the items of a list, without quotes.
setting() { sed -n "s/^$1 = //p" "$2" | head -1 | sed -e 's/^"\(.*\)"$/\1/' -e 's/^\[\(.*\)\]$/\1/' -e 's/", "/ /g' -e 's/"//g'; }

# closure PACKAGE... prints the packages with all that they depend on, and the essential ones.
closure() {
  local -A seen=()
  local todo=("$@") name
  while read -r name; do todo+=("$name"); done < <(dpkg-query -W -f '${Essential} ${Package}\n' | sed -n 's/^yes //p')
  while [ ${#todo[@]} -gt 0 ]; do
    name=${todo[-1]}
    unset 'todo[-1]'
    [ -z "${seen[$name]:-}" ] || continue
    seen[$name]=1
    while read -r dependency; do [ -z "$dependency" ] || todo+=("$dependency"); done < <(
      dpkg-query -W -f '${Pre-Depends}, ${Depends}\n' "$name" 2>/dev/null | tr ',|' '\n\n' | sed -e 's/(.*//' -e 's/:any//' -e 's/[[:space:]]//g')
  done
  printf '%s\n' "${!seen[@]}" | sort
}

# package_of PATH prints the package that a file belongs to, or nothing.
package_of() {
  local path real
  real=$(readlink -f "$1" 2>/dev/null || echo "$1")
  for path in "$1" "$real" "${real#/usr}" "/usr$1"; do
    dpkg -S "$path" 2>/dev/null | sed -n '/^diversion/d; s/:.*//p' | head -1 | grep . && return
  done
  case $1 in /etc/ssl/certs/*) echo ca-certificates ;; esac # update-ca-certificates writes the bundle there
}

# programs_of_build prints the programs that go build runs where it links externally: the shell, the compiler and what that runs.
programs_of_build() {
  command -v sh mkdir gcc
  local tool
  for tool in as ld cc1 collect2; do gcc -print-prog-name=$tool; done | while read -r tool; do command -v "$tool"; done
}

# traced_paths BUILD prints the programs that a clean build ran and the files that it read.
traced_paths() {
  local work
  work=$(mktemp -d)
  mkdir "$work/tree" "$work/home"
  git ls-files -z | grep -zv '^journal/' | xargs -0 cp --parents -t "$work/tree" # no .git: the build must not need it
  (
    cd "$work/tree"
    env -i PATH="$PATH" HOME="$work/home" GOFLAGS=-modcacherw GOPROXY="$(go env GOPROXY)" GOSUMDB="$(go env GOSUMDB)" \
      strace -f -qq -e trace=execve,open,openat -e status=successful -o "$work/trace" sh -c "$1" >&2
  )
  sed -nE 's/^[0-9]+ +(execve|open|openat)\((AT_FDCWD, |[0-9]+, )?"([^"]+)".*/\3/p' "$work/trace" | grep '^/' |
    grep -vE "^($work|$(go env GOROOT)|/proc|/sys|/dev|/tmp)(/|$)" |
    grep -vx /etc/localtime | sort -u # the machine's time zone; without it Go takes UTC
  rm -rf "$work"
}

# report FILE checks the paths on standard input against the packages of a deploy file.
report() {
  local listed allowed path package failed=0
  listed=$(setting packages "$1")
  # shellcheck disable=SC2086 # a list
  allowed=$(closure $listed)
  while read -r path; do
    [ ! -d "$path" ] || continue
    package=$(package_of "$path")
    case ${package:-none} in
      none) echo "- $path belongs to no package" ;;
      *) echo "$package $path" ;;
    esac
  done | sort -u >"$used"
  cut -d' ' -f1 "$used" | grep -v '^-' | sort | uniq -c | while read -r count package; do
    grep -qx "$package" <<<"$allowed" && echo "$1: $package, $count files" || echo "$1: $package, $count files: in the closure of no listed package"
  done
  grep '^- ' "$used" | sed "s#^- #$1: #" || true
  for package in $(cut -d' ' -f1 "$used" | grep -v '^-' | sort -u); do grep -qx "$package" <<<"$allowed" || failed=1; done
  return $failed
}

verb=${1:-}
shift || true
[ $# -gt 0 ] || { echo "usage: scripts/build-packages.sh trace|check FILE..." >&2; exit 2; }
used=$(mktemp)
trap 'rm -f "$used"' EXIT
status=0
for file in "$@"; do
  case $verb in
    trace) traced_paths "$(setting build "$file")" | report "$file" || status=1 ;;
    check) programs_of_build | report "$file" || status=1 ;;
    *) echo "usage: scripts/build-packages.sh trace|check FILE..." >&2; exit 2 ;;
  esac
done
exit $status
