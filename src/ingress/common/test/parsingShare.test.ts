import test from "ava";
import { ParsingShare } from "../parsingShare";

test("costly requests take turns, and a quarter of the time", t => {
    const share = ParsingShare.create<string>();
    t.false(share.isCostly(0.3));
    t.true(share.isCostly(1));
    ["a", "b", "c"].forEach(each => share.add(each));
    const parsed: string[] = [];
    const parse = (client: string) => {
        parsed.push(client);
        share.add(client);
        return 2;
    };
    t.is(share.takeTurn(parse), 12);
    share.takeTurn(parse);
    t.deepEqual(parsed, ["a", "b", "c", "a"]);
    share.remove("b");
    share.takeTurn(() => 0);
    t.false(share.isWaiting);
});

test("a turn in which the process did not run costs no long pause", t => {
    const share = ParsingShare.create<string>();
    share.add("a");
    t.is(
        share.takeTurn(() => 500),
        20,
    );
});
