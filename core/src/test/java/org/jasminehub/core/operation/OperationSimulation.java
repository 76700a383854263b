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

/**
 * Simulates agents, entry instances, callers, a log and a network that loses, duplicates, delays and reorders messages.
 * All random decisions come from one seed, so that a schedule that violates an invariant can be run again.
 */
final class OperationSimulation {
    private static final int STEPS = 1200;
    private static final LedgerLimits LIMITS = new LedgerLimits(1000, 100, 100, 10_000, 0);
    private static final int MAX_AGENTS = 5;
    private static final int MAX_KEYS_IN_USE = 4;
    private static final String BODY = "digest";

    private static final class Entry {
        private final List<Call> calls = new ArrayList<>();
        private long knownEpoch;
        private boolean isPaused;
    }

    private static final class Call {
        private final OperationId id;
        private final OperationCall operation;
        private final long deadlineMillis;
        private OperationAnswer answer;

        private Call(OperationId id, OperationCall operation, long deadlineMillis) {
            this.id = id;
            this.operation = operation;
            this.deadlineMillis = deadlineMillis;
        }
    }

    private record Message(Object target, Runnable delivery, Runnable onLoss) {}

    private final Random random;
    private final OperationDefect defect;
    private final ManualClock clock = new ManualClock(0);
    private final OperationTimes times;
    private final List<HomeTable> log = new ArrayList<>();
    private final List<SimulatedAgent> agents = new ArrayList<>();
    private final List<Entry> entries = List.of(new Entry(), new Entry(), new Entry());
    private final List<Message> network = new ArrayList<>();
    private final Map<OperationId, Long> firstUseMillis = new HashMap<>();
    private final Map<OperationId, Integer> runs = new HashMap<>();
    private final List<Call> answered = new ArrayList<>();
    private final int stepsPerClockJump;
    private final int stepsPerFault;
    private long keyCount;
    private long lastIncarnation = 1;
    private boolean isLogDown;

    OperationSimulation(long seed, OperationDefect defect) {
        this.random = new Random(seed);
        this.stepsPerClockJump = 20 + random.nextInt(300);
        this.stepsPerFault = 10 + random.nextInt(100);
        this.defect = defect;
        this.times = defect.times();
        for (String name : List.of("a", "b", "c")) {
            agents.add(startAgent(new AgentIncarnation(new InstanceId(name), 1)));
        }
        log.add(new HomeTable(
                "bookings", 1, agents.stream().map(agent -> agent.id).toList()));
    }

    /** Runs the schedule and returns the first violated invariant. */
    Optional<String> run() {
        for (int i = 0; i < STEPS; i++) {
            step();
        }
        agents.forEach(agent -> agent.isPaused = false);
        entries.forEach(entry -> entry.isPaused = false);
        while (!network.isEmpty()) {
            deliver(network.remove(0));
        }
        clock.advanceMillis(OperationDefect.DEADLINE_MILLIS);
        expireDeadlines();
        return firstViolation();
    }

    int countAnswers(Outcome outcome) {
        return (int) answered.stream()
                .filter(call -> call.answer.outcome() == outcome)
                .count();
    }

    private Optional<String> firstViolation() {
        for (Map.Entry<OperationId, Integer> run : runs.entrySet()) {
            if (run.getValue() > 1) {
                return Optional.of(run.getKey() + " ran " + run.getValue() + " times");
            }
        }
        for (Call call : answered) {
            int count = runs.getOrDefault(call.id, 0);
            if (call.answer.outcome() == Outcome.NOT_RUN && count > 0) {
                return Optional.of(call.id + " ran although the answer was \"not run\"");
            }
            if (call.answer.outcome() == Outcome.DONE && count != 1) {
                return Optional.of(call.id + " did not run exactly once although the answer was \"done\"");
            }
        }
        boolean isOpen = entries.stream().anyMatch(entry -> !entry.calls.isEmpty());
        return isOpen ? Optional.of("a caller received no answer") : Optional.empty();
    }

    private void step() {
        if (random.nextInt(stepsPerClockJump) == 0) {
            clock.advanceMillis(random.nextInt(2 * OperationDefect.WINDOW_MILLIS));
        }
        if (random.nextInt(stepsPerFault) == 0) {
            injectFault();
        }
        int choice = random.nextInt(100);
        if (choice < 65 && !network.isEmpty()) {
            processMessage();
        } else if (choice < 75) {
            clock.advanceMillis(random.nextInt(12));
            expireDeadlines();
        } else if (choice < 83) {
            sendRequest();
        } else if (choice < 95) {
            updateAgent(pick(agents));
        } else {
            Entry entry = pick(entries);
            boolean isStale = random.nextInt(4) == 0;
            entry.knownEpoch = isStale ? Math.max(1, log.size() - random.nextInt(3)) : log.size();
        }
    }

    private void injectFault() {
        switch (random.nextInt(10)) {
            case 0 -> replaceAgent(pick(agents));
            case 1 -> changeTable();
            case 2 -> pick(entries).calls.clear();
            case 3 -> isLogDown = random.nextInt(3) == 0;
            case 4 -> pick(agents).isPaused = true;
            case 5 -> pick(entries).isPaused = true;
            case 6 -> pick(agents).isDisconnected = true;
            case 7 -> agents.forEach(agent -> agent.isDisconnected &= random.nextInt(3) > 0);
            case 8 -> agents.forEach(agent -> agent.isPaused = false);
            default -> entries.forEach(entry -> entry.isPaused = false);
        }
    }

    private void processMessage() {
        Message message = network.get(random.nextInt(network.size()));
        // 0 and 1 leave the message in the network, so that it can be delivered again; 2 loses it.
        int choice = random.nextInt(20);
        if (choice > 1) {
            network.remove(message);
        }
        if (choice == 2) {
            message.onLoss().run();
        } else if (isPaused(message.target())) {
            network.add(message);
        } else {
            deliver(message);
        }
    }

    private void deliver(Message message) {
        boolean isStopped = message.target() instanceof SimulatedAgent agent && !agents.contains(agent);
        (isStopped ? message.onLoss() : message.delivery()).run();
    }

    private static boolean isPaused(Object target) {
        return target instanceof SimulatedAgent agent && agent.isPaused
                || target instanceof Entry entry && entry.isPaused;
    }

    private void sendRequest() {
        OperationId id = random.nextInt(3) == 0 ? newKey() : knownKey();
        if (clock.monotonicMillis() - firstUseMillis.get(id) > OperationDefect.WINDOW_MILLIS) {
            return;
        }
        Entry entry = pick(entries);
        long limitMillis = defect == OperationDefect.NO_ENTRY_DEADLINE
                ? OperationDefect.NEVER_MILLIS
                : OperationDefect.DEADLINE_MILLIS;
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
                .filter(id -> clock.monotonicMillis() - firstUseMillis.get(id) <= OperationDefect.WINDOW_MILLIS)
                .sorted(Comparator.<OperationId, Long>comparing(firstUseMillis::get)
                        .thenComparing(OperationId::key))
                .toList();
        int firstInUse = Math.max(0, recent.size() - MAX_KEYS_IN_USE);
        return recent.isEmpty() ? newKey() : pick(recent.subList(firstInUse, recent.size()));
    }

    private Optional<HomeTable> tableOf(Entry entry) {
        return entry.knownEpoch == 0 ? Optional.empty() : Optional.of(log.get((int) entry.knownEpoch - 1));
    }

    private void act(Entry entry, Call call, OperationStep step) {
        if (step instanceof OperationStep.RequestTicket ask) {
            sendToAgent(
                    entry,
                    call,
                    ask.home(),
                    agent -> sendReply(
                            entry,
                            call,
                            () -> act(
                                    entry,
                                    call,
                                    call.operation.onTicketReply(agent.guard.requestTicket(call.id, BODY)))));
        } else if (step instanceof OperationStep.SendRequest send) {
            sendToAgent(entry, call, send.ticket().issuer(), agent -> start(entry, call, agent, send.ticket()));
        } else if (step instanceof OperationStep.RequestRevocation ask) {
            if (defect == OperationDefect.NOT_RUN_WITHOUT_PROOF) {
                conclude(entry, call, OperationAnswer.notRun(ErrorCode.ENDPOINT_FAILED));
                return;
            }
            sendToAgent(entry, call, ask.home(), agent -> {
                GuardDecision decision = agent.guard.revoke(call.id, BODY);
                sendReply(entry, call, () -> act(entry, call, call.operation.onRevocationReply(decision)));
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

    private void sendToAgent(Entry entry, Call call, AgentIncarnation to, Consumer<SimulatedAgent> delivery) {
        Runnable onLoss = () -> sendReply(entry, call, () -> act(entry, call, call.operation.onHomeLost()));
        Optional<SimulatedAgent> target =
                agents.stream().filter(agent -> agent.id.equals(to)).findFirst();
        target.ifPresentOrElse(agent -> network.add(new Message(agent, () -> delivery.accept(agent), onLoss)), onLoss);
    }

    private void sendReply(Entry entry, Call call, Runnable delivery) {
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
                answer -> sendReply(entry, call, () -> act(entry, call, call.operation.onAnswer(answer)));
        if (decision instanceof GuardDecision.RunNow run) {
            agent.waiting.computeIfAbsent(run.id(), id -> new ArrayList<>()).add(toCaller);
            callService(agent, run.id());
        } else if (decision instanceof GuardDecision.AwaitRun run) {
            agent.waiting.computeIfAbsent(run.id(), id -> new ArrayList<>()).add(toCaller);
        } else {
            toCaller.accept(decision);
        }
    }

    /** Sends the request to the service, where it may run much later, even after the agent has crashed. */
    private void callService(SimulatedAgent agent, OperationId id) {
        Runnable delivery = runOnce(() -> {
            runs.merge(id, 1, Integer::sum);
            OperationResult result = new OperationResult(201, "", new byte[0]);
            network.add(new Message(
                    agent, () -> finish(agent, id, agent.guard.finish(id, result)), () -> finishInDoubt(agent, id)));
        });
        network.add(new Message(clock, delivery, runOnce(() -> finishInDoubt(agent, id))));
    }

    private static Runnable runOnce(Runnable action) {
        boolean[] isDone = new boolean[1];
        return () -> {
            if (!isDone[0]) {
                isDone[0] = true;
                action.run();
            }
        };
    }

    private void finishInDoubt(SimulatedAgent agent, OperationId id) {
        finish(agent, id, agent.guard.finishInDoubt(id));
    }

    private void finish(SimulatedAgent agent, OperationId id, OperationAnswer answer) {
        List<Consumer<GuardDecision>> callers = agent.waiting.remove(id);
        if (callers != null) {
            callers.forEach(caller -> caller.accept(new GuardDecision.Answered(answer)));
        }
    }

    private void expireDeadlines() {
        for (Entry entry : entries) {
            List.copyOf(entry.calls).stream()
                    .filter(call -> !entry.isPaused && clock.monotonicMillis() >= call.deadlineMillis)
                    .forEach(call -> act(entry, call, call.operation.onDeadlineExceeded()));
            if (defect == OperationDefect.NO_ENTRY_DEADLINE && network.isEmpty()) {
                entry.calls.clear();
            }
        }
    }

    private void updateAgent(SimulatedAgent agent) {
        if (agent.isPaused || agent.isDisconnected) {
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
                    .filter(other -> other.id.equals(home) && !other.isDisconnected)
                    .findFirst()
                    .ifPresent(other -> network.add(new Message(other, () -> handOver(other, table, agent), () -> {})));
        }
    }

    private void handOver(SimulatedAgent from, HomeTable table, SimulatedAgent to) {
        if (defect == OperationDefect.HANDOVER_WITHOUT_SEAL) {
            Handover unsealed = new Handover(from.id, to.id, table.epoch(), List.of(), List.of());
            network.add(new Message(to, () -> to.guard.receive(unsealed), () -> {}));
            return;
        }
        Handover handover = from.guard.handOver(table, to.id);
        if (handover != null) {
            network.add(new Message(to, () -> to.guard.receive(handover), () -> {}));
        }
    }

    /** Starts a new incarnation; the old one has crashed, or is paused and disconnected and may resume later. */
    private void replaceAgent(SimulatedAgent old) {
        SimulatedAgent next = startAgent(new AgentIncarnation(old.id.agent(), ++lastIncarnation));
        if (agents.size() < MAX_AGENTS && random.nextBoolean()) {
            old.isPaused = true;
            old.isDisconnected = true;
        } else {
            agents.remove(old);
        }
        agents.add(next);
    }

    private SimulatedAgent startAgent(AgentIncarnation id) {
        AtMostOnceGuard guard = new AtMostOnceGuard(id, "bookings", times, LIMITS, clock, event -> {});
        return new SimulatedAgent(id, guard);
    }

    /** Proposes a table of randomly chosen running incarnations, whether or not they are reachable. */
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
