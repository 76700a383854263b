package org.jasminehub.core.operation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.error.Outcome;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.WorkspaceId;
import org.jasminehub.core.time.ManualClock;

/** Agents, entry instances, callers, a log and a network that loses, repeats, delays and reorders, under one seed. */
final class OperationWorld {
    private static final int STEPS = 1200;
    private static final LedgerLimits LIMITS = new LedgerLimits(1000, 100, 100, 10_000, 0);
    private static final int MAX_AGENTS = 5;
    private static final int KEYS_IN_USE = 4;
    private static final String BODY = "digest";

    private static final class Entry {
        private final List<Call> calls = new ArrayList<>();
        private long knownEpoch;
        private boolean isFrozen;
    }

    private static final class Call {
        private final OperationId id;
        private final OperationCall call;
        private final long deadlineMillis;
        private OperationAnswer answer;

        private Call(OperationId id, OperationCall call, long deadlineMillis) {
            this.id = id;
            this.call = call;
            this.deadlineMillis = deadlineMillis;
        }
    }

    private record Message(Object target, Runnable delivery, Runnable onLoss) {}

    private final Random random;
    private final OperationFlaw flaw;
    private final ManualClock clock = new ManualClock(0);
    private final OperationTimes times;
    private final List<HomeTable> log = new ArrayList<>();
    private final List<SimulatedAgent> agents = new ArrayList<>();
    private final List<Entry> entries = List.of(new Entry(), new Entry(), new Entry());
    private final List<Message> network = new ArrayList<>();
    private final Map<OperationId, Long> firstUseMillis = new HashMap<>();
    private final Map<OperationId, Integer> runs = new HashMap<>();
    private final List<Call> answered = new ArrayList<>();
    private final int jumpEvery;
    private final int failEvery;
    private long keyCount;
    private long lastIncarnation = 1;
    private boolean isLogDown;

    OperationWorld(long seed, OperationFlaw flaw) {
        this.random = new Random(seed);
        this.jumpEvery = 20 + random.nextInt(300);
        this.failEvery = 10 + random.nextInt(100);
        this.flaw = flaw;
        this.times = flaw.times();
        for (String name : List.of("a", "b", "c")) {
            agents.add(startAgent(new AgentIncarnation(new InstanceId(name), 1)));
        }
        log.add(new HomeTable(
                "bookings", 1, agents.stream().map(agent -> agent.id).toList()));
    }

    /** Runs the schedule and returns the first broken promise. */
    Optional<String> run() {
        for (int i = 0; i < STEPS; i++) {
            step();
        }
        agents.forEach(agent -> agent.isFrozen = false);
        entries.forEach(entry -> entry.isFrozen = false);
        while (!network.isEmpty()) {
            deliver(network.remove(0));
        }
        clock.advanceMillis(OperationFlaw.DEADLINE_MILLIS);
        passDeadlines();
        return firstBrokenPromise();
    }

    int answeredWith(Outcome outcome) {
        return (int) answered.stream()
                .filter(call -> call.answer.outcome() == outcome)
                .count();
    }

    private Optional<String> firstBrokenPromise() {
        for (Map.Entry<OperationId, Integer> run : runs.entrySet()) {
            if (run.getValue() > 1) {
                return Optional.of(run.getKey() + " ran " + run.getValue() + " times");
            }
        }
        for (Call call : answered) {
            int count = runs.getOrDefault(call.id, 0);
            if (call.answer.outcome() == Outcome.NOT_RUN && count > 0) {
                return Optional.of(call.id + " ran after \"not run\"");
            }
            if (call.answer.outcome() == Outcome.DONE && count != 1) {
                return Optional.of(call.id + " did not run though \"done\"");
            }
        }
        boolean isOpen = entries.stream().anyMatch(entry -> !entry.calls.isEmpty());
        return isOpen ? Optional.of("a caller got no answer") : Optional.empty();
    }

    private void step() {
        if (random.nextInt(jumpEvery) == 0) {
            clock.advanceMillis(random.nextInt(2 * OperationFlaw.WINDOW_MILLIS));
        }
        if (random.nextInt(failEvery) == 0) {
            fail();
        }
        int choice = random.nextInt(100);
        if (choice < 65 && !network.isEmpty()) {
            moveMessage();
        } else if (choice < 75) {
            clock.advanceMillis(random.nextInt(12));
            passDeadlines();
        } else if (choice < 83) {
            sendRequest();
        } else if (choice < 95) {
            tendAgent(pick(agents));
        } else {
            Entry entry = pick(entries);
            boolean isStale = random.nextInt(4) == 0;
            entry.knownEpoch = isStale ? Math.max(1, log.size() - random.nextInt(3)) : log.size();
        }
    }

    private void fail() {
        switch (random.nextInt(10)) {
            case 0 -> replaceAgent(pick(agents));
            case 1 -> changeTable();
            case 2 -> pick(entries).calls.clear();
            case 3 -> isLogDown = random.nextInt(3) == 0;
            case 4 -> pick(agents).isFrozen = true;
            case 5 -> pick(entries).isFrozen = true;
            case 6 -> pick(agents).isCutOff = true;
            case 7 -> agents.forEach(agent -> agent.isCutOff &= random.nextInt(3) > 0);
            case 8 -> agents.forEach(agent -> agent.isFrozen = false);
            default -> entries.forEach(entry -> entry.isFrozen = false);
        }
    }

    private void moveMessage() {
        Message message = network.get(random.nextInt(network.size()));
        int fate = random.nextInt(20);
        if (fate > 1) {
            network.remove(message);
        }
        if (fate == 2) {
            message.onLoss().run();
        } else if (isFrozen(message.target())) {
            network.add(message);
        } else {
            deliver(message);
        }
    }

    private void deliver(Message message) {
        boolean isGone = message.target() instanceof SimulatedAgent agent && !agents.contains(agent);
        (isGone ? message.onLoss() : message.delivery()).run();
    }

    private static boolean isFrozen(Object target) {
        return target instanceof SimulatedAgent agent && agent.isFrozen
                || target instanceof Entry entry && entry.isFrozen;
    }

    private void sendRequest() {
        OperationId id = random.nextInt(3) == 0 ? newKey() : knownKey();
        if (clock.monotonicMillis() - firstUseMillis.get(id) > OperationFlaw.WINDOW_MILLIS) {
            return;
        }
        Entry entry = pick(entries);
        long limitMillis =
                flaw == OperationFlaw.NO_ENTRY_DEADLINE ? OperationFlaw.NEVER_MILLIS : OperationFlaw.DEADLINE_MILLIS;
        long deadlineMillis = clock.monotonicMillis() + limitMillis;
        OperationCall operation = new OperationCall(id, deadlineMillis, () -> tableOf(entry), clock, event -> {});
        Call call = new Call(id, operation, deadlineMillis);
        entry.calls.add(call);
        boolean isRefused = random.nextInt(8) == 0;
        Runnable start = () ->
                act(entry, call, isRefused ? operation.beginRefused(ErrorCode.LIMIT_EXCEEDED) : operation.begin());
        network.add(new Message(entry, start, () -> {}));
    }

    private OperationId newKey() {
        keyCount++;
        boolean isBound = random.nextInt(3) == 0;
        String key = isBound ? pick(agents).guard.issueKey().text() : "key-" + keyCount;
        OperationId id = new OperationId(new WorkspaceId("herd"), "bookings", key);
        firstUseMillis.put(id, clock.monotonicMillis());
        return id;
    }

    private OperationId knownKey() {
        List<OperationId> recent = firstUseMillis.keySet().stream()
                .filter(id -> clock.monotonicMillis() - firstUseMillis.get(id) <= OperationFlaw.WINDOW_MILLIS)
                .sorted(Comparator.<OperationId, Long>comparing(firstUseMillis::get)
                        .thenComparing(OperationId::key))
                .toList();
        int firstInUse = Math.max(0, recent.size() - KEYS_IN_USE);
        return recent.isEmpty() ? newKey() : pick(recent.subList(firstInUse, recent.size()));
    }

    private Optional<HomeTable> tableOf(Entry entry) {
        return entry.knownEpoch == 0 ? Optional.empty() : Optional.of(log.get((int) entry.knownEpoch - 1));
    }

    private void act(Entry entry, Call call, OperationStep step) {
        if (step instanceof OperationStep.RequestTicket ask) {
            toAgent(
                    entry,
                    call,
                    ask.home(),
                    agent -> reply(
                            entry,
                            call,
                            () -> act(
                                    entry, call, call.call.takeTicketReply(agent.guard.requestTicket(call.id, BODY)))));
        } else if (step instanceof OperationStep.SendRequest send) {
            toAgent(entry, call, send.ticket().issuer(), agent -> start(entry, call, agent, send.ticket()));
        } else if (step instanceof OperationStep.RequestRevocation ask) {
            if (flaw == OperationFlaw.NOT_RUN_WITHOUT_PROOF) {
                conclude(entry, call, OperationAnswer.notRun(ErrorCode.ENDPOINT_FAILED));
                return;
            }
            toAgent(entry, call, ask.home(), agent -> {
                GuardDecision decision = agent.guard.revoke(call.id, BODY);
                reply(entry, call, () -> act(entry, call, call.call.takeRevocationReply(decision)));
            });
        } else if (step instanceof OperationStep.AnswerCaller last) {
            conclude(entry, call, last.answer());
        }
    }

    private void conclude(Entry entry, Call call, OperationAnswer answer) {
        if (entry.calls.remove(call)) {
            call.answer = answer;
            answered.add(call);
        }
    }

    private void toAgent(Entry entry, Call call, AgentIncarnation to, Consumer<SimulatedAgent> delivery) {
        Runnable onLoss = () -> reply(entry, call, () -> act(entry, call, call.call.takeLoss()));
        Optional<SimulatedAgent> target =
                agents.stream().filter(agent -> agent.id.equals(to)).findFirst();
        target.ifPresentOrElse(agent -> network.add(new Message(agent, () -> delivery.accept(agent), onLoss)), onLoss);
    }

    private void reply(Entry entry, Call call, Runnable delivery) {
        Runnable whileOpen = () -> {
            if (entry.calls.contains(call)) {
                delivery.run();
            }
        };
        network.add(new Message(entry, whileOpen, () -> {}));
    }

    private void start(Entry entry, Call call, SimulatedAgent agent, OperationTicket ticket) {
        GuardDecision decision = agent.guard.start(ticket, BODY);
        Consumer<GuardDecision> toCaller =
                answer -> reply(entry, call, () -> act(entry, call, call.call.takeAnswer(answer)));
        if (decision instanceof GuardDecision.RunNow run) {
            agent.waiting.computeIfAbsent(run.id(), id -> new ArrayList<>()).add(toCaller);
            callService(agent, run.id());
        } else if (decision instanceof GuardDecision.AwaitRun run) {
            agent.waiting.computeIfAbsent(run.id(), id -> new ArrayList<>()).add(toCaller);
        } else {
            toCaller.accept(decision);
        }
    }

    /** The request is on its way to the service: it may run long after, also when the agent has died meanwhile. */
    private void callService(SimulatedAgent agent, OperationId id) {
        Runnable delivery = onlyOnce(() -> {
            runs.merge(id, 1, Integer::sum);
            OperationResult result = new OperationResult(201, "", new byte[0]);
            network.add(new Message(
                    agent, () -> finish(agent, id, agent.guard.finish(id, result)), () -> loseAnswer(agent, id)));
        });
        network.add(new Message(clock, delivery, onlyOnce(() -> loseAnswer(agent, id))));
    }

    private static Runnable onlyOnce(Runnable action) {
        boolean[] isDone = new boolean[1];
        return () -> {
            if (!isDone[0]) {
                isDone[0] = true;
                action.run();
            }
        };
    }

    private void loseAnswer(SimulatedAgent agent, OperationId id) {
        finish(agent, id, agent.guard.loseAnswer(id));
    }

    private void finish(SimulatedAgent agent, OperationId id, OperationAnswer answer) {
        List<Consumer<GuardDecision>> callers = agent.waiting.remove(id);
        if (callers != null) {
            callers.forEach(caller -> caller.accept(new GuardDecision.Answered(answer)));
        }
    }

    private void passDeadlines() {
        for (Entry entry : entries) {
            List.copyOf(entry.calls).stream()
                    .filter(call -> !entry.isFrozen && clock.monotonicMillis() >= call.deadlineMillis)
                    .forEach(call -> act(entry, call, call.call.takeDeadline()));
            if (flaw == OperationFlaw.NO_ENTRY_DEADLINE && network.isEmpty()) {
                entry.calls.clear();
            }
        }
    }

    private void tendAgent(SimulatedAgent agent) {
        if (agent.isFrozen || agent.isCutOff) {
            return;
        }
        if (!isLogDown) {
            log.forEach(agent.guard::learn);
            long epoch = log.size();
            long askedMillis = clock.monotonicMillis();
            network.add(new Message(agent, () -> agent.guard.confirm(epoch, askedMillis), () -> {}));
        }
        HomeTable table = log.get(log.size() - 1);
        for (AgentIncarnation home : agent.guard.missingHandovers()) {
            agents.stream()
                    .filter(other -> other.id.equals(home) && !other.isCutOff)
                    .findFirst()
                    .ifPresent(other -> network.add(new Message(other, () -> handOver(other, table, agent), () -> {})));
        }
    }

    private void handOver(SimulatedAgent from, HomeTable table, SimulatedAgent to) {
        if (flaw == OperationFlaw.HANDOVER_WITHOUT_SEAL) {
            Handover unsealed = new Handover(from.id, to.id, table.epoch(), List.of(), List.of());
            network.add(new Message(to, () -> to.guard.receive(unsealed), () -> {}));
            return;
        }
        Handover handover = from.guard.handOver(table, to.id);
        if (handover != null) {
            network.add(new Message(to, () -> to.guard.receive(handover), () -> {}));
        }
    }

    /** Starts a new incarnation; the old one has died, or is only frozen and wakes up later. */
    private void replaceAgent(SimulatedAgent old) {
        SimulatedAgent next = startAgent(new AgentIncarnation(old.id.agent(), ++lastIncarnation));
        if (agents.size() < MAX_AGENTS && random.nextBoolean()) {
            old.isFrozen = true;
            old.isCutOff = true;
        } else {
            agents.remove(old);
        }
        agents.add(next);
    }

    private SimulatedAgent startAgent(AgentIncarnation id) {
        HomeGuard guard = new HomeGuard(id, "bookings", times, LIMITS, clock, event -> {});
        return new SimulatedAgent(id, guard);
    }

    /** Proposes any mix of present incarnations, healthy or not. */
    private void changeTable() {
        if (isLogDown) {
            return;
        }
        List<AgentIncarnation> members = agents.stream()
                .filter(agent -> random.nextInt(3) > 0)
                .map(agent -> agent.id)
                .toList();
        log.add(new HomeTableChange("bookings", log.size(), members).table());
    }

    private <T> T pick(List<T> values) {
        return values.get(random.nextInt(values.size()));
    }
}
