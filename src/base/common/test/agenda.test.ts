import test from "ava";
import { Agenda } from "../agenda";

const CLASSES = ["urgent", "usual"] as const;

function createAgenda() {
    const turns: string[] = [];
    const classOf = (event: string) => (event.startsWith("u") ? CLASSES[0] : CLASSES[1]);
    return { agenda: Agenda.create(CLASSES, classOf, () => turns.push("turn")), turns };
}

test("urgent events are handled first, those of one class in order of arrival", t => {
    const { agenda, turns } = createAgenda();
    ["a", "u1", "b", "u2"].forEach((event, index) => agenda.add(event, index));
    t.is(turns.length, 1);
    agenda.beginTurn(10);
    const handled = Array.from({ length: 5 }, () => agenda.next(10)?.event);
    t.deepEqual(handled, ["u1", "u2", "a", "b", undefined]);
});

test("a turn ends when its time is spent, and the next one handles what has arrived meanwhile first", t => {
    const { agenda, turns } = createAgenda();
    ["a", "b"].forEach(event => agenda.add(event, 0));
    agenda.beginTurn(0);
    t.is(agenda.next(0)?.event, "a");
    t.is(agenda.next(40), undefined);
    t.is(turns.length, 2);
    agenda.add("u", 41);
    t.is(turns.length, 2);
    agenda.beginTurn(41);
    t.is(agenda.next(41)?.event, "u");
    t.is(agenda.next(42)?.event, "b");
    t.is(agenda.next(43), undefined);
    t.is(turns.length, 2);
    agenda.add("c", 50);
    t.is(turns.length, 3);
});

test("an event waits at most 250 ms for more urgent ones", t => {
    const { agenda } = createAgenda();
    agenda.add("a", 0);
    agenda.add("u1", 100);
    agenda.beginTurn(250);
    t.is(agenda.next(250)?.event, "u1");
    agenda.add("u2", 251);
    t.is(agenda.next(251)?.event, "a");
});

test("an urgent event that arrives behind a long backlog waits for one event of it, not for all", t => {
    const { agenda } = createAgenda();
    Array.from({ length: 80 }, (_, index) => agenda.add(`a${index}`, 0));
    agenda.add("u1", 300);
    agenda.add("u2", 300);
    agenda.beginTurn(300);
    const handled = Array.from({ length: 5 }, () => agenda.next(301)?.event);
    t.deepEqual(handled, ["a0", "u1", "a1", "u2", "a2"]);
});

test("what has waited for long is handled at least in turn with more urgent events", t => {
    const { agenda } = createAgenda();
    agenda.add("a", 0);
    agenda.add("b", 0);
    Array.from({ length: 10 }, (_, index) => agenda.add(`u${index}`, 400));
    agenda.beginTurn(400);
    const handled = Array.from({ length: 4 }, () => agenda.next(400)?.event);
    t.deepEqual(handled, ["a", "u0", "b", "u1"]);
});

test("an item states when its event arrived", t => {
    const { agenda } = createAgenda();
    agenda.add("a", 7);
    agenda.beginTurn(20);
    t.deepEqual(agenda.next(20), { event: "a", arrivedAt: 7 });
});
