/* The life of attempts and of the engine connections under them, beside the code: the same states and steps
 * as src/path/state_tables.hpp (a test compares the lines below with the tables there, both ways), one strand, one
 * shard, two mailboxes that lose no order, engines that may do anything.
 *
 *   spin -DONE_REQUEST -a attempt.pml && cc -O2 -o pan pan.c && ./pan   one request, two attempts, two connections
 *   spin -DTRIES=1 -DLINKS=1 -a ...                                      two requests after each other on one
 * and -DUNSAFE for a first request that may not run twice.
 *
 * -DPLANT_REUSE, -DPLANT_RESEND, -DPLANT_ORDER, -DPLANT_LATE_DIAL, -DPLANT_PARTIAL: one guard off each; pan must
 * then find it. */

#ifndef TRIES
#define TRIES 2   /* attempts of one request, at most 2 */
#endif
#ifndef LINKS
#define LINKS 2   /* connections to the engine, at most 2 */
#endif
#define NONE 255

mtype = { connecting, starting_up, idle, busy, sending, cancelling, closed,
          created, statement_sent, awaiting_permission, streaming, finished,
          e_connected, e_ready, e_statement_sent, e_write_blocked, e_write_completed, e_attempt_dropped, e_cancel_sent, e_statement_finished,
          e_finished_unusable, e_connection_lost, e_closed_locally,
          e_connect, e_send_statement, e_exceed_buffer, e_allow_stream, e_cancel, e_finish,
          nothing, answered, refused, gone,      /* on its way from an engine */
          o_start, o_stop, o_deliver, o_drain,   /* orders */
          t_served, t_unrun, t_unknown };        /* told: how an attempt ended */

typedef Request {
  bool unsafe;
  bool out, final;         /* the strand's book: an attempt out; its final answer decided, */
  bool told;               /* and given to its client by the shard */
  byte tries;
  bool may_have_run;       /* an attempt ended without proof that it did not run */
  byte at_engines;         /* statements of it that sockets show as out */
  byte ran
};
typedef Connection {
  mtype state;
  byte request, try;       /* whose attempt is on it; NONE */
  mtype coming;            /* what the engine has sent */
  byte statement;          /* of the engine's session: whose it runs; NONE */
  byte number;             /* of that statement */
  bool cancel;             /* a cancel request is out, */
#ifdef PLANT_PARTIAL
  byte rest;               /* the request whose statement is written on after its end; NONE */
#endif
  byte meant               /* for the statement of this number */
};

Request request[2];
mtype attempt[4];  /* two of each request */
#define NUMBER(r, n) ((r) * 2 + (n))
Connection link[2];
chan orders = [4] of { mtype, byte, byte };
chan told = [4] of { mtype, byte, byte };
bool draining, drain_known;

inline link_step(l, event) {
  skip;  /* an else may lead here */
  if
  :: link[l].state == connecting && event == e_connected -> link[l].state = starting_up
  :: link[l].state == connecting && event == e_attempt_dropped -> link[l].state = connecting
  :: link[l].state == connecting && event == e_connection_lost -> link[l].state = closed
  :: link[l].state == connecting && event == e_closed_locally -> link[l].state = closed
  :: link[l].state == starting_up && event == e_ready -> link[l].state = idle
  :: link[l].state == starting_up && event == e_attempt_dropped -> link[l].state = starting_up
  :: link[l].state == starting_up && event == e_connection_lost -> link[l].state = closed
  :: link[l].state == starting_up && event == e_closed_locally -> link[l].state = closed
  :: link[l].state == idle && event == e_statement_sent -> link[l].state = busy
  :: link[l].state == idle && event == e_connection_lost -> link[l].state = closed
  :: link[l].state == idle && event == e_closed_locally -> link[l].state = closed
  :: link[l].state == busy && event == e_cancel_sent -> link[l].state = cancelling
  :: link[l].state == busy && event == e_statement_finished -> link[l].state = idle
  :: link[l].state == busy && event == e_finished_unusable -> link[l].state = closed
  :: link[l].state == busy && event == e_connection_lost -> link[l].state = closed
  :: link[l].state == busy && event == e_closed_locally -> link[l].state = closed
  :: link[l].state == busy && event == e_write_blocked -> link[l].state = sending
  :: link[l].state == sending && event == e_write_completed -> link[l].state = busy
  :: link[l].state == sending && event == e_finished_unusable -> link[l].state = closed
  :: link[l].state == sending && event == e_connection_lost -> link[l].state = closed
  :: link[l].state == sending && event == e_closed_locally -> link[l].state = closed
  :: link[l].state == cancelling && event == e_finished_unusable -> link[l].state = closed
  :: link[l].state == cancelling && event == e_connection_lost -> link[l].state = closed
  :: link[l].state == cancelling && event == e_closed_locally -> link[l].state = closed
  :: else -> assert(false)  /* no line of the table */
  fi
}

inline try_step(i, event) {
  skip;  /* an else may lead here */
  if
  :: attempt[i] == created && event == e_connect -> attempt[i] = connecting
  :: attempt[i] == created && event == e_send_statement -> attempt[i] = statement_sent
  :: attempt[i] == created && event == e_finish -> attempt[i] = finished
  :: attempt[i] == connecting && event == e_send_statement -> attempt[i] = statement_sent
  :: attempt[i] == connecting && event == e_cancel -> attempt[i] = cancelling
  :: attempt[i] == connecting && event == e_finish -> attempt[i] = finished
  :: attempt[i] == statement_sent && event == e_exceed_buffer -> attempt[i] = awaiting_permission
  :: attempt[i] == statement_sent && event == e_cancel -> attempt[i] = cancelling
  :: attempt[i] == statement_sent && event == e_finish -> attempt[i] = finished
  :: attempt[i] == awaiting_permission && event == e_allow_stream -> attempt[i] = streaming
  :: attempt[i] == awaiting_permission && event == e_cancel -> attempt[i] = cancelling
  :: attempt[i] == awaiting_permission && event == e_finish -> attempt[i] = finished
  :: attempt[i] == streaming && event == e_cancel -> attempt[i] = cancelling
  :: attempt[i] == streaming && event == e_finish -> attempt[i] = finished
  :: attempt[i] == cancelling && event == e_finish -> attempt[i] = finished
  :: else -> assert(false)
  fi
}

/* The end of an attempt is told once; what was told already stays told. */
inline end_try(l, how) {
  skip;  /* an else may lead here */
  if
  :: link[l].request != NONE ->
     if
     :: attempt[NUMBER(link[l].request, link[l].try)] != finished ->
        try_step(NUMBER(link[l].request, link[l].try), e_finish);
        told!how(link[l].request, link[l].try)
     :: else
     fi;
     link[l].request = NONE;
     link[l].try = 0
  :: else
  fi
}

/* Sockets show that the statement is no longer out: answered and read, lost, or cancelled by its sender. */
inline not_out(l) {
  skip;  /* an else may lead here */
  if
  :: link[l].statement != NONE && request[link[l].statement].at_engines > 0 ->
     request[link[l].statement].at_engines--
  :: else
  fi
}

/* The engine receives the last byte of the statement. */
inline statement_arrives(l) {
  assert(!request[link[l].request].told);                  /* nothing after the final answer */
  assert(request[link[l].request].at_engines == 0);        /* copies are off: never two out */
  assert(!request[link[l].request].unsafe || request[link[l].request].ran == 0);
  link[l].statement = link[l].request;
  link[l].number++;
  request[link[l].request].at_engines++;
  request[link[l].request].ran++
}

/* The first byte is written, and all others or only a part of them. */
inline write_statement(l) {
  link_step(l, e_statement_sent);
  try_step(NUMBER(link[l].request, link[l].try), e_send_statement);
  assert(link[l].statement == NONE);                       /* never before ReadyForQuery */
  assert(!drain_known);                                    /* no drained engine is sent to */
  if
  :: statement_arrives(l)
  :: link_step(l, e_write_blocked)
  fi
}

proctype strand() {
  byte r, n;
  mtype how;
end:
  do
  :: atomic { (nfull(orders) && nempty(told)) -> told?how(r, n);
       if
       :: request[r].out && n + 1 == request[r].tries ->
          request[r].out = false;
          if
          :: how == t_served -> request[r].final = true; orders!o_deliver(r, 0)
          :: how == t_unknown -> request[r].may_have_run = true
          :: else
          fi
       :: else  /* ended here before: no longer of interest */
       fi;
       r = 0; n = 0; how = nothing }
  :: atomic { (!request[0].final && !request[0].out && request[0].tries < TRIES && !draining && nfull(orders)) -> r = 0; goto send }
  :: atomic { (!request[1].final && !request[1].out && request[1].tries < TRIES && !draining && nfull(orders)) -> r = 1; goto send }
  :: atomic { (request[0].out && nfull(orders)) -> r = 0; goto time_out }
  :: atomic { (request[1].out && nfull(orders)) -> r = 1; goto time_out }
  :: atomic { (!request[0].final && !request[0].out && request[0].tries == TRIES && nfull(orders)) ->
       request[0].final = true; orders!o_deliver(0, 0) }
  :: atomic { (!request[1].final && !request[1].out && request[1].tries == TRIES && nfull(orders)) ->
       request[1].final = true; orders!o_deliver(1, 0) }
  :: atomic { (!draining && nfull(orders)) -> draining = true; orders!o_drain(0, 0) }
  od;
send:
  atomic {
    if
#ifndef PLANT_RESEND
    :: request[r].unsafe && request[r].may_have_run -> request[r].final = true; orders!o_deliver(r, 0)
#endif
    :: else ->
       request[r].out = true;
       request[r].tries++;
       orders!o_start(r, request[r].tries - 1)
    fi;
    r = 0
  };
  goto end;
time_out:  /* its time is over: stopped, and ended in the books at once */
  atomic {
    request[r].out = false;
    request[r].may_have_run = true;
#ifndef PLANT_ORDER
    orders!o_stop(r, request[r].tries - 1);
#endif
    r = 0
  };
  goto end
}

proctype shard() {
  byte r, n, l;
  mtype what;
end:
  do
  :: atomic { orders?what(r, n) ->
       if
       :: what == o_deliver ->
          assert(!request[r].told);  /* one final answer */
          request[r].told = true
       :: what == o_drain ->
          drain_known = true;
          l = 0;
          do
          :: l < LINKS -> if :: link[l].state == idle -> link_step(l, e_closed_locally) :: else fi; l++
          :: else -> break
          od
       :: what == o_stop ->
          l = 0;
          do
          :: l < LINKS ->
             if
             :: link[l].request == r && link[l].try == n && attempt[NUMBER(r, n)] != finished ->
                try_step(NUMBER(r, n), e_cancel);
                if
                :: link[l].state == connecting || link[l].state == starting_up ->
                   link_step(l, e_attempt_dropped);
                   end_try(l, t_unrun)
                :: link[l].state == busy ->
                   link_step(l, e_cancel_sent);
                   link[l].cancel = true;
                   link[l].meant = link[l].number;
                   not_out(l)
                :: link[l].state == sending ->             /* the rest is never written */
                   end_try(l, t_unknown);
                   link_step(l, e_closed_locally)
                :: else
                fi
             :: else
             fi;
             l++
          :: else -> break
          od
       :: what == o_start ->
          if
          :: drain_known -> try_step(NUMBER(r, n), e_finish); told!t_unrun(r, n)
          :: else ->
             l = 0;  /* a pooled connection first, else a free place to dial */
             do
             :: l < LINKS && link[l].state != idle -> l++
             :: else -> break
             od;
             if
             :: l < LINKS -> link[l].request = r; link[l].try = n; write_statement(l)
             :: else ->
                l = 0;
                do
                :: l < LINKS && link[l].state != closed -> l++
                :: else -> break
                od;
                if
                :: l < LINKS && !link[l].cancel ->
                   link[l].state = connecting;
                   link[l].request = r;
                   link[l].try = n;
                   link[l].statement = NONE;
                   link[l].coming = nothing;
                   try_step(NUMBER(r, n), e_connect)
                :: else -> try_step(NUMBER(r, n), e_finish); told!t_unrun(r, n)  /* the pool is full */
                fi
             fi
          fi
       :: else
       fi;
       l = 0; r = 0; n = 0; what = nothing }
  :: atomic { (link[0].state != closed) -> l = 0; goto event }
  :: atomic { (link[1].state != closed) -> l = 1; goto event }
  od;
event:
  atomic {
    if
    :: link[l].state == connecting ->
       if
       :: link_step(l, e_connected)
       :: end_try(l, t_unrun); link_step(l, e_connection_lost)
       fi
    :: link[l].state == starting_up ->
       if
       :: end_try(l, t_unrun); link_step(l, e_connection_lost)
       :: link_step(l, e_ready);
          if
#ifndef PLANT_LATE_DIAL
          :: drain_known -> end_try(l, t_unrun); link_step(l, e_closed_locally)
          :: !drain_known && link[l].request != NONE -> write_statement(l)
          :: !drain_known && link[l].request == NONE -> skip
#else
          :: link[l].request != NONE -> write_statement(l)
          :: link[l].request == NONE -> skip
#endif
          fi
       fi
    :: link[l].state == sending ->
       if
       :: link_step(l, e_write_completed); statement_arrives(l)
       :: end_try(l, t_unknown); link_step(l, e_connection_lost)
#ifndef PLANT_PARTIAL
       :: end_try(l, t_unrun); link_step(l, e_finished_unusable)  /* rejected before all of it has come */
#else
       :: link[l].rest = link[l].request; end_try(l, t_unrun); link[l].state = idle
#endif
       fi
#ifdef PLANT_PARTIAL
    :: link[l].state == idle && link[l].rest != NONE ->
       assert(!request[link[l].rest].unsafe || request[link[l].rest].ran == 0);
       request[link[l].rest].ran++;
       link[l].rest = NONE
#endif
    :: link[l].coming == answered || link[l].coming == refused ->
       if :: link[l].state == busy -> not_out(l) :: else fi;
       link[l].statement = NONE;
       if
       :: link[l].coming == answered -> end_try(l, t_served)
       :: else -> end_try(l, t_unrun)
       fi;
       link[l].coming = nothing;
       if
#ifdef PLANT_REUSE
       :: link[l].state == cancelling -> link[l].state = idle
#else
       :: link[l].state == cancelling -> link_step(l, e_finished_unusable)
#endif
       :: link[l].state == busy && drain_known -> link_step(l, e_finished_unusable)
       :: link[l].state == busy && !drain_known -> link_step(l, e_statement_finished)
       fi
    :: link[l].coming == gone ->
       if :: link[l].state == busy -> not_out(l) :: else fi;
       end_try(l, t_unknown);
       link[l].statement = NONE;
       link[l].coming = nothing;
       link_step(l, e_connection_lost)
    :: else
    fi;
    l = 0
  };
  goto end
}

/* An engine answers, turns away (proof that nothing ran), resets, or reads a cancel request. */
proctype engines() {
  byte l;
end:
  do
  :: atomic { link[0].statement != NONE && link[0].coming == nothing && link[0].state != closed -> l = 0; goto reply }
  :: atomic { link[1].statement != NONE && link[1].coming == nothing && link[1].state != closed -> l = 1; goto reply }
  :: atomic { link[0].cancel -> l = 0; goto cancel }
  :: atomic { link[1].cancel -> l = 1; goto cancel }
  od;
reply:
  atomic {
    if
    :: link[l].coming = answered
    :: link[l].coming = refused; request[link[l].statement].ran--
    :: link[l].coming = gone
    fi;
    l = 0
  };
  goto end;
cancel:
  atomic {
    link[l].cancel = false;
    if
    :: link[l].statement != NONE && link[l].coming == nothing && link[l].state != closed ->
       assert(link[l].number == link[l].meant);  /* no cancel hits another statement */
       link[l].coming = answered
    :: else
    fi;
    link[l].meant = 0;
    l = 0
  };
  goto end
}

init {
  atomic {
#ifdef ONE_REQUEST
    request[1].final = true;
#else
    request[1].unsafe = true;
#endif
#ifdef UNSAFE
    request[0].unsafe = true;
#endif
    link[0].state = closed; link[0].request = NONE; link[0].statement = NONE; link[0].coming = nothing;
    link[1].state = closed; link[1].request = NONE; link[1].statement = NONE; link[1].coming = nothing;
#ifdef PLANT_PARTIAL
    link[0].rest = NONE; link[1].rest = NONE;
#endif
    attempt[0] = created; attempt[1] = created; attempt[2] = created; attempt[3] = created;
    run strand();
    run shard();
    run engines()
  }
}
