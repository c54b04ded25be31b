# Completions of citrongwctl for fish.
set -l groups profile service replica server node config status explain dump log digest
complete -c citrongwctl -n "not __fish_seen_subcommand_from $groups" -a "$groups" -f
complete -c citrongwctl -l node -x -d 'operators address of a node'
complete -c citrongwctl -l token -x -d 'bearer token'
complete -c citrongwctl -l json -d 'print JSON in place of tables'
complete -c citrongwctl -l yes -d 'do not ask before dangerous acts'
complete -c citrongwctl -l help -d 'print help'
complete -c citrongwctl -n '__fish_seen_subcommand_from profile' -a 'list show create edit retire' -f
complete -c citrongwctl -n '__fish_seen_subcommand_from service' -a 'list assign' -f
complete -c citrongwctl -n '__fish_seen_subcommand_from replica' -a 'list show drain' -f
complete -c citrongwctl -n '__fish_seen_subcommand_from server' -a 'leave return' -f
complete -c citrongwctl -n '__fish_seen_subcommand_from node' -a 'list stop' -f
complete -c citrongwctl -n '__fish_seen_subcommand_from config' -a 'history diff show put'
complete -c citrongwctl -n '__fish_seen_subcommand_from explain' -a 'request replica refusals' -f
complete -c citrongwctl -n '__fish_seen_subcommand_from profile service config' -l base -x -d 'version that the change is made from'
complete -c citrongwctl -n '__fish_seen_subcommand_from profile' -l file -r -d 'JSON file with the fields'
