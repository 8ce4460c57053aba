import { runDemo } from "./demo";

process.exitCode = await runDemo();
