package stonespring;

import java.io.IOException;
import stonespring.simhost.SimHost;
import stonespring.simhost.WireException;

/** Starts the part of the program that the first argument names. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: stonespring simhost");
            System.exit(2);
        }
        try {
            new SimHost().run(System.in, System.out);
        } catch (WireException e) {
            System.err.println("stonespring: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("stonespring: input or output failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
