# Completions of citrongwctl for bash.
_citrongwctl() {
    local word=${COMP_WORDS[COMP_CWORD]} group='' verb='' it
    for it in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case $it in
            -*) ;;
            *) if [ -z "$group" ]; then group=$it; else verb=${verb:-$it}; fi ;;
        esac
    done
    local choices='--node --token --json --yes --help'
    if [ -z "$group" ]; then
        choices="$choices profile service replica server node config status explain dump log digest"
    elif [ -z "$verb" ]; then
        case $group in
            profile) choices="$choices list show create edit retire" ;;
            service) choices="$choices list assign" ;;
            replica) choices="$choices list show drain" ;;
            server) choices="$choices leave return" ;;
            node) choices="$choices list stop" ;;
            config) choices="$choices history diff show put" ;;
            explain) choices="$choices request replica refusals" ;;
        esac
    else
        case "$group $verb" in
            'profile create' | 'profile edit') choices="$choices --file --base" ;;
            'profile retire' | 'service assign') choices="$choices --base" ;;
            'config put') choices="$choices --base --replaces-lost" ;;
        esac
    fi
    mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$word")
}
complete -F _citrongwctl -o default citrongwctl
