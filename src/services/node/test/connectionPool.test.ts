import { setFlagsFromString } from "node:v8";
import { runInThisContext } from "node:vm";
import test from "ava";
import { createPool } from "../connectionPool";

type Run = () => number;
type Load = (code: Uint8Array) => Run;

/** A module whose function `run` counts down from 1,000,000. */
const COUNTDOWN = Buffer.from(
    "0061736d010000000105016000017f030201000707010372756e00000a1a011801017f41c0843d21000340200041016b22000d000b20000b",
    "hex",
);

/** More calls than the optimizing compiler waits for. */
const MANY_CALLS = 30;

// It took 0.2 s of processor time and 40 MB in each process that starts.
test("the parser of HTTP is not compiled by the optimizing compiler", async t => {
    await createPool("http://127.0.0.1:1").destroy();
    const load = runInThisContext("code => new WebAssembly.Instance(new WebAssembly.Module(code)).exports.run") as Load;
    const run = load(COUNTDOWN);
    for (let call = 0; call < MANY_CALLS; call += 1) {
        run();
    }
    setFlagsFromString("--allow-natives-syntax");
    const isBaseline = runInThisContext("run => %IsLiftoffFunction(run)") as (run: Run) => boolean;
    t.true(isBaseline(run));
});
