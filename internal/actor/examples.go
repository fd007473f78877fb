package actor

// SurveyFunction is an example: a survey crew's tablet submits tiles, and once all expected tiles have arrived one
// area job is submitted; later calls return its outcome. A survey that is not complete in time is abandoned.
const SurveyFunction = `start: {want: 0, tiles: [], done: ""}
on:
  call:
    state: >-
      event.body.op == "begin" ? {"want": event.body.want, "tiles": [], "done": ""} :
      event.body.op == "tile" && !(event.body.tile in state.tiles) ? {"want": state.want, "tiles": state.tiles + [event.body.tile], "done": state.done} :
      state
    answer: >-
      event.body.op == "tile" ? {"have": size(state.tiles) + (event.body.tile in state.tiles ? 0 : 1), "want": state.want, "done": state.done} :
      {"have": size(state.tiles), "want": state.want, "done": state.done}
    jobs: >-
      event.body.op == "tile" && !(event.body.tile in state.tiles) && double(size(state.tiles) + 1) == double(state.want) ?
      [{"name": "area", "category": event.body.category, "account": event.body.account, "payload": "area " + event.desk}] : []
    timers: >-
      event.body.op == "begin" ? {"late": 3600000.0} : {}
  end:
    state: >-
      {"want": state.want, "tiles": state.tiles, "done": event.served ? "served" : "failed"}
    timers: >-
      {"late": 0.0}
  timer:
    state: >-
      {"want": state.want, "tiles": state.tiles, "done": "late"}
`

// BookingFunction is an example: a booking desk reserves slots. A slot that is not confirmed in time lapses and is
// returned.
const BookingFunction = `start: {held: {}, lapsed: 0}
on:
  call:
    state: >-
      event.body.op == "book" ? {"held": state.held, "lapsed": state.lapsed, "last": event.body.slot} : state
    answer: >-
      {"ok": true, "lapsed": state.lapsed}
    timers: >-
      event.body.op == "book" ? {"slot " + event.body.slot: event.body.forMs} :
      event.body.op == "confirm" ? {"slot " + event.body.slot: 0.0} : {}
  timer:
    state: >-
      {"held": state.held, "lapsed": state.lapsed + 1.0, "last": event.name}
    jobs: >-
      [{"name": "back " + event.name, "category": "tile-charge", "account": "maavaade", "payload": "give back " + event.name}]
`
